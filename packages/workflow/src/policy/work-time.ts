import type { ForecastSubject } from "./completion-forecast.js";
import type { Urgency } from "./urgency.js";
import type { WorkPool } from "./waiting-work.js";

/** Milliseconds that a submission's work takes at the rate at which work of its pools starts; 0 where that is not known. */
export const workTime = (
    { urgency, work }: ForecastSubject,
    rateOf: (pool: WorkPool, urgency: Urgency) => number | undefined,
): number => {
    const times = (Object.entries(work) as [WorkPool, number][]).map(([pool, amount]) => {
        const rate = rateOf(pool, urgency);
        return rate === undefined ? 0 : amount / Math.max(1, rate);
    });
    return Math.max(0, ...times);
};
