/** Detects periods in which workers may carry out unanswered orders with a delay. */
export interface LateOrderDetector {
    /** A worker that answers other calls has left one without answer. */
    readonly recordSign: () => void;
    /** Whether a call without answer, sent at `sentAt` (ms of the steady clock), may be carried out late. */
    readonly mayBeDelayed: (sentAt: number) => boolean;
}

/**
 * Milliseconds before and after a sign within which other unanswered calls count as delayed. Dozens of orders are sent
 * each second, so an ongoing disturbance produces another sign well within this time. A longer time would needlessly
 * delay the restart of tasks whose worker has died.
 */
const suspectTime = 6_000;
/** Milliseconds for which signs are kept: longer than any late order takes. */
const signRetention = 30_000;

/** Creates a detector without recorded signs. */
export const createLateOrderDetector = (): LateOrderDetector => {
    let signs: number[] = [];
    return {
        recordSign: () => {
            const now = performance.now();
            signs = [...signs.filter(sign => now - sign < signRetention), now];
        },
        mayBeDelayed: sentAt => signs.some(sign => Math.abs(sign - sentAt) < suspectTime),
    };
};
