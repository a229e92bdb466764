import type { Workflow } from "../model/workflow.js";
import { createRateLimit } from "./rate-limit.js";
import { urgentPriority } from "./urgency.js";

/**
 * Starts of tasks that a holder reserves for small urgent workflows while it is late with placement. Their tasks go before
 * all that waits, so that they are on time as long as they are few.
 */
export interface PlacementReserve {
    /** Starts that are left; `now` in ms of a monotonic clock. */
    readonly left: (now: number) => number;
    /** Takes as many of them. */
    readonly take: (starts: number, now: number) => void;
}

/** Starts that are reserved per second and processor core; a holder orders several times as many. */
const startsPerSecond = 75;
/** Starts that can be taken at once, at least; those of a workflow of usual size. */
const leastCapacity = 16;

/** Starts of the reserve that a workflow takes; infinite for one whose tasks don't go before all that waits. */
export const reservedStarts = ({ queue, steps, schedule }: Pick<Workflow, "queue" | "steps" | "schedule">): number =>
    queue.priority === urgentPriority && schedule === undefined && !steps.some(step => step.isLasting)
        ? steps.reduce((sum, { count }) => sum + count, 0)
        : Infinity;

/** Creates a reserve of which all is left. `processors`: cores of the host; may be a fraction. */
export const createPlacementReserve = (processors: number): PlacementReserve => {
    const rate = processors * startsPerSecond;
    return createRateLimit(rate, Math.max(leastCapacity, rate));
};
