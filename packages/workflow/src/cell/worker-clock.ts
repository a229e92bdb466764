/** A reading of a worker's clock, with the local monotonic time at which it arrived; both in ms. */
interface Reading {
    readonly clock: number;
    readonly receivedAt: number;
}

/**
 * Computes the deadline, on the worker's clock, until which the worker may run tasks. It counts from a proof of the
 * cell's lease and is based on a reading that arrived before that proof was sent. The local clock stands still while
 * this process is suspended, so such a deadline can only be too early. One that is computed back from a reading taken
 * after the proof could be too late.
 */
export interface WorkerClock {
    /** Records a reading of the worker's clock that has just arrived, in ms. */
    readonly recordReading: (clock: number) => void;
    /**
     * Whether a reading that answers a call sent at `sentAt` (monotonic time in ms) is too early for the incarnation of the
     * latest reading, so that another one has answered. The clock of a new incarnation starts anew.
     */
    readonly isOfOtherIncarnation: (clock: number, sentAt: number) => boolean;
    /** To be called before a proof of the cell's lease is sent; returns a callback for when the lease is proved. */
    readonly beginProof: () => () => void;
    /** Deadline in ms on the worker's clock; undefined until the lease has been proved after a first reading. */
    readonly deadline: () => number | undefined;
    /** Estimated milliseconds of worker time until `deadline`; 0 without a reading. */
    readonly timeUntil: (deadline: number) => number;
    /** Discards all readings, since a new incarnation of the worker has another clock. */
    readonly reset: () => void;
}

/** Milliseconds by which two readings may be off, which are rounded. */
const readingPrecision = 2;

/**
 * Creates a clock without readings. `lease`: length of a lease in ms. `clockDrift`: share by which the worker's clock
 * may be slow.
 */
export const createWorkerClock = (lease: number, clockDrift: number): WorkerClock => {
    let latestReading: Reading | undefined;
    let deadline: number | undefined;
    let incarnation = 0;
    const estimate = (reading: Reading, at: number): number =>
        reading.clock + (at - reading.receivedAt) * (1 - clockDrift);
    return {
        recordReading: clock => {
            latestReading = { clock, receivedAt: performance.now() };
        },
        isOfOtherIncarnation: (clock, sentAt) => {
            if (latestReading === undefined) {
                return false;
            }
            const elapsed = sentAt - latestReading.receivedAt;
            const leastElapsed = elapsed * (elapsed > 0 ? 1 - clockDrift : 1 + clockDrift);
            return clock < latestReading.clock + leastElapsed - readingPrecision;
        },
        beginProof: () => {
            const reading = latestReading;
            const sentAt = performance.now();
            const sentIncarnation = incarnation;
            return () => {
                if (reading !== undefined && sentIncarnation === incarnation) {
                    deadline = Math.max(deadline ?? 0, Math.floor(estimate(reading, sentAt) + lease));
                }
            };
        },
        deadline: () => deadline,
        timeUntil: until =>
            latestReading === undefined
                ? 0
                : until - (latestReading.clock + performance.now() - latestReading.receivedAt),
        reset: () => {
            latestReading = undefined;
            deadline = undefined;
            incarnation += 1;
        },
    };
};
