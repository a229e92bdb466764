/** Signs that workers carry out orders late which they did not answer. */
export interface LateOrderDetector {
    /** A worker that answers other calls has left one without answer. */
    readonly recordSign: () => void;
    /** Whether a call without answer, sent at `sentAt` (ms of the steady clock), may be carried out late. */
    readonly mayBeDelayed: (sentAt: number) => boolean;
}

/**
 * Milliseconds around a sign within which other calls are suspected too. Dozens of orders go out each second, so that a
 * disturbance shows itself again well within this time; a longer one keeps tasks of workers that died from starting.
 */
const signReach = 6_000;
/** Milliseconds for which signs are kept: longer than any late order takes. */
const signMemory = 30_000;

/** Creates a record without signs. */
export const createLateOrderDetector = (): LateOrderDetector => {
    let signs: number[] = [];
    return {
        recordSign: () => {
            const now = performance.now();
            signs = [...signs.filter(sign => now - sign < signMemory), now];
        },
        mayBeDelayed: sentAt => signs.some(sign => Math.abs(sign - sentAt) < signReach),
    };
};
