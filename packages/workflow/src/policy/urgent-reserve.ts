/**
 * Room that is kept for urgent work, which comes in bursts and runs for moments, against tasks that would hold it for
 * good: as much as urgent work has wanted at a time of late.
 */
export interface UrgentReserve {
    /** Takes in what urgent work holds and waits for, in thousandths of cores; `now` in ms of a steady clock. */
    readonly recordDemand: (demand: number, now: number) => void;
    /** Thousandths of cores that should stay within reach of urgent work. */
    readonly requiredCpu: (now: number) => number;
}

/** Milliseconds over which the largest demand counts; a burst of users lasts about as long. */
const demandMemory = 8_000;

/** Creates a reserve of nothing. */
export const createUrgentReserve = (): UrgentReserve => {
    /** Demands that no later one exceeds, oldest first. */
    let peaks: { readonly demand: number; readonly at: number; }[] = [];
    const dropOld = (now: number): void => {
        peaks = peaks.filter(peak => now - peak.at < demandMemory);
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
