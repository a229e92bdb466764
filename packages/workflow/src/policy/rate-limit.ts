/** Limits how often something is done, with a burst after quiet times. */
export interface RateLimit {
    /** How often it may be done now; negative after more was taken than was left. `now` in ms of a monotonic clock. */
    readonly left: (now: number) => number;
    /** Counts it as done so often, whatever is left. */
    readonly take: (count: number, now: number) => void;
}

const msPerSecond = 1_000;

/** Creates a limit of `perSecond`, and of `burst` at once, of which all is left. */
export const createRateLimit = (perSecond: number, burst: number): RateLimit => {
    let taken = 0;
    let updatedAt = 0;
    const update = (now: number): void => {
        taken = Math.max(0, taken - perSecond * (now - updatedAt) / msPerSecond);
        updatedAt = now;
    };
    return {
        left: now => {
            update(now);
            return Math.floor(burst - taken);
        },
        take: (count, now) => {
            update(now);
            taken += count;
        },
    };
};
