/** Limits how often something is done, with a burst after quiet times. */
export interface RateLimit {
    /** Counts one more; false, and nothing is counted, if the limit is reached. */
    readonly take: () => boolean;
}

/** Creates a limit of `perSecond`, and of `burst` at once. */
export const createRateLimit = (perSecond: number, burst: number): RateLimit => {
    let available = burst;
    let countedAt = performance.now();
    return {
        take: () => {
            const now = performance.now();
            available = Math.min(burst, available + (now - countedAt) * perSecond / 1_000);
            countedAt = now;
            const isTaken = available >= 1;
            available -= isTaken ? 1 : 0;
            return isTaken;
        },
    };
};
