import { sleep } from "@jayfront/world";

/** Measures how late this process runs its timers, which shows that it lacks processor time. */
export interface ProcessDelay {
    /** Longest delay of a measured timer in the last few seconds, in milliseconds. */
    readonly recent: () => number;
    /** Milliseconds by which the measured timers were late in all since the start, one that is overdue included. */
    readonly total: () => number;
    /** As `sleep` of the package `world`; the delay of its timer is measured. To be called for one timer at a time. */
    readonly sleep: (milliseconds: number, signal?: AbortSignal) => Promise<void>;
}

/** Milliseconds for which a delay counts as recent. */
const recentTime = 3_000;

/** A measured timer. */
interface DelaySample {
    /** Monotonic time in ms at which the timer ran. */
    readonly at: number;
    readonly delay: number;
}

/** Creates a measurement without samples. */
export const createProcessDelay = (): ProcessDelay => {
    /** Later samples with a longer delay replace earlier ones, so that the first one has the longest delay. */
    let samples: readonly DelaySample[] = [];
    /** Delays of the timers that have run, in ms. */
    let finishedDelays = 0;
    /** Monotonic time in ms at which the measured timer is due; Infinity if none is set. */
    let nextDueAt = Infinity;
    const record = (delay: number): void => {
        const at = performance.now();
        finishedDelays += delay;
        samples = [
            ...samples.filter(sample => at - sample.at < recentTime && sample.delay > delay),
            { at, delay },
        ];
    };
    return {
        recent: () => samples.find(({ at }) => performance.now() - at < recentTime)?.delay ?? 0,
        total: () => finishedDelays + Math.max(0, performance.now() - nextDueAt),
        sleep: async (milliseconds, signal) => {
            const dueAt = performance.now() + milliseconds;
            nextDueAt = dueAt;
            await sleep(milliseconds, signal);
            nextDueAt = Infinity;
            if (signal?.aborted !== true) {
                record(Math.max(0, performance.now() - dueAt));
            }
        },
    };
};
