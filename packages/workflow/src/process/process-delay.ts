import { sleep } from "@jayfront/world";

/** Measures how late this process runs its timers, which shows that it lacks processor time. */
export interface ProcessDelay {
    /** Longest delay of a measured timer in the last few seconds, in milliseconds. */
    readonly recent: () => number;
    /** As `sleep` of the package `world`; the delay of its timer is measured. */
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
    const record = (delay: number): void => {
        const at = performance.now();
        samples = [
            ...samples.filter(sample => at - sample.at < recentTime && sample.delay > delay),
            { at, delay },
        ];
    };
    return {
        recent: () => samples.find(({ at }) => performance.now() - at < recentTime)?.delay ?? 0,
        sleep: async (milliseconds, signal) => {
            const dueAt = performance.now() + milliseconds;
            await sleep(milliseconds, signal);
            if (signal?.aborted !== true) {
                record(Math.max(0, performance.now() - dueAt));
            }
        },
    };
};
