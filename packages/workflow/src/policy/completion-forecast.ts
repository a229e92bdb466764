import type { Urgency } from "./urgency.js";
import { compareUrgency } from "./urgency.js";
import type { WaitingWork, WorkPool } from "./waiting-work.js";

/** The submission whose wait is forecast. */
export interface ForecastSubject {
    readonly urgency: Urgency;
    /** Millicores times ms that its tasks are expected to take, by pool; without the pools that it does not use. */
    readonly work: Readonly<Partial<Record<WorkPool, number>>>;
}

/**
 * Milliseconds until the first tasks of a submission have room: the waiting work of its pool that goes before it, at the
 * rate at which work of the pool starts. 0 where nothing waits before it. `rateOf`: started millicores times ms per ms; undefined where it is not known, so that no wait can be
 * forecast.
 */
export const forecastWait = (
    { urgency, work }: ForecastSubject,
    waiting: readonly WaitingWork[],
    rateOf: (pool: WorkPool, urgency: Urgency) => number | undefined,
): number => {
    let longest = 0;
    for (const pool of Object.keys(work) as WorkPool[]) {
        const rate = rateOf(pool, urgency);
        if (rate !== undefined) {
            let ahead = 0;
            for (const other of waiting) {
                ahead += other.pool === pool && compareUrgency(other.urgency, urgency) <= 0 ? other.work : 0;
            }
            longest = Math.max(longest, ahead / Math.max(1, rate));
        }
    }
    return longest;
};
