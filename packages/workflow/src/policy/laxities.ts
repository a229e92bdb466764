import type { Urgency } from "./urgency.js";
import { uselessFactor } from "./useless-factor.js";

/** Largest laxity of work that goes after all work that can be in time. */
const lateLaxity = -1;

/** The laxity of work that goes after all work that can be in time, whatever time it has to spare. */
export const laxityAsLate = (laxity: number): number => Math.min(laxity, lateLaxity);

/**
 * The laxities of a step whose workflow has the objective. `spareTime`: milliseconds from now until the workflow's due
 * time, less the remaining path of the step.
 */
export const laxitiesOf = (spareTime: number, objective: number): Pick<Urgency, "laxity" | "expiryLaxity"> => ({
    laxity: spareTime + objective,
    expiryLaxity: spareTime + objective * uselessFactor,
});
