/**
 * Tracks how much CPU to keep available to urgent work, so that long-running tasks don't take it all: the largest
 * demand of urgent work within a sliding window. Urgent work comes in bursts of short tasks.
 */
export interface UrgentReserve {
    /** Records the millicores that urgent work holds and waits for; `now` in ms of a monotonic clock. */
    readonly recordDemand: (demand: number, now: number) => void;
    /** Millicores to keep available to urgent work; `now` in ms of a monotonic clock. */
    readonly requiredCpu: (now: number) => number;
}

/** Milliseconds of the sliding window; a burst of user requests lasts about as long. */
const demandWindow = 8_000;

/** Creates a reserve without recorded demand, which requires nothing. */
export const createUrgentReserve = (): UrgentReserve => {
    /** Demands that no later demand exceeds, oldest first. */
    let peaks: { readonly demand: number; readonly at: number; }[] = [];
    const dropOld = (now: number): void => {
        peaks = peaks.filter(peak => now - peak.at < demandWindow);
    };
    return {
        recordDemand: (demand, now) => {
            dropOld(now);
            peaks = [...peaks.filter(peak => peak.demand > demand), { demand, at: now }];
        },
        requiredCpu: now => {
            dropOld(now);
            return peaks[0]?.demand ?? 0;
        },
    };
};
