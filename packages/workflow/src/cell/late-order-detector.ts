/** Detects periods in which workers may carry out unanswered orders with a delay. */
export interface LateOrderDetector {
    /** A worker that answers other calls has left one unanswered, at `at` (monotonic time in ms; default: now). */
    readonly recordSign: (at?: number) => void;
    /** Whether an unanswered call that was sent at `sentAt` (monotonic time in ms) may be carried out late. */
    readonly mayBeDelayed: (sentAt: number) => boolean;
}

/**
 * Milliseconds around a sign within which other calls are suspected too. Dozens of orders go out each second, so that a
 * disturbance that goes on produces another sign well within this time. A longer time would needlessly delay the
 * restart of tasks whose worker has died.
 */
const suspectTime = 6_000;
/** Milliseconds for which signs are kept: longer than any late order takes. */
const signRetention = 30_000;

/** Creates a detector without recorded signs. */
export const createLateOrderDetector = (): LateOrderDetector => {
    let signs: number[] = [];
    return {
        recordSign: (at = performance.now()) => {
            signs = [...signs.filter(sign => performance.now() - sign < signRetention), at];
        },
        mayBeDelayed: sentAt => signs.some(sign => Math.abs(sign - sentAt) < suspectTime),
    };
};
