/** Signs that workers carry out orders late which they did not answer. */
export interface LateOrders {
    /** A worker that answers other calls has left one without answer. */
    readonly note: () => void;
    /** Whether a call without answer, sent at `sentAt` (ms of the steady clock), may be carried out late. */
    readonly mayInclude: (sentAt: number) => boolean;
}

/**
 * Milliseconds around a sign within which other calls are suspected too. Dozens of orders go out each second, so that a
 * disturbance shows itself again well within this time; a longer one keeps tasks of workers that died from starting.
 */
const signReach = 6_000;
/** Milliseconds for which signs are kept: longer than any late order takes. */
const signMemory = 30_000;

/** Creates a record without signs. */
export const createLateOrders = (): LateOrders => {
    let signs: number[] = [];
    return {
        note: () => {
            const now = performance.now();
            signs = [...signs.filter(sign => now - sign < signMemory), now];
        },
        mayInclude: sentAt => signs.some(sign => Math.abs(sign - sentAt) < signReach),
    };
};
