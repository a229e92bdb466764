/** Detects periods in which workers may carry out unanswered orders with a delay. */
export interface LateOrderDetector {
    /** A worker that answers other calls has left one unanswered, at `at` (monotonic time in ms; default: now). */
    readonly recordSign: (at?: number) => void;
    /** Whether an unanswered call that was sent at `sentAt` (monotonic time in ms) may be carried out late. */
    readonly mayBeDelayed: (sentAt: number) => boolean;
    /**
     * Milliseconds since the last sign; undefined if calls that are sent now are not suspected. The next holder of the
     * cell has to know it: it does not know which calls were sent to workers that it can't reach.
     */
    readonly signAge: () => number | undefined;
}

/**
 * Milliseconds around a sign within which other calls are suspected too. Dozens of orders go out each second, so that a
 * disturbance that goes on produces another sign well within this time. A longer time would needlessly delay the
 * restart of tasks whose worker has died.
 */
const suspectTime = 6_000;
/** Milliseconds for which signs are kept: longer than any late order takes. */
const signRetention = 30_000;

/** Minimum milliseconds between two calls of `onSign`. */
const noticeInterval = 1_000;

/** Creates a detector without recorded signs. `onSign` is called for signs, but not for each of many. */
export const createLateOrderDetector = (onSign = (): void => undefined): LateOrderDetector => {
    let signs: number[] = [];
    let noticedAt = -Infinity;
    return {
        recordSign: (at = performance.now()) => {
            signs = [...signs.filter(sign => performance.now() - sign < signRetention), at];
            if (performance.now() - noticedAt >= noticeInterval) {
                noticedAt = performance.now();
                onSign();
            }
        },
        signAge: () => {
            const age = performance.now() - Math.max(-Infinity, ...signs);
            return age < suspectTime ? age : undefined;
        },
        mayBeDelayed: sentAt => signs.some(sign => Math.abs(sign - sentAt) < suspectTime),
    };
};
