/** A reading of a worker's clock, with the time of our steady clock at which the answer arrived. */
interface Sample {
    readonly clock: number;
    readonly receivedAt: number;
}

/**
 * Tells until when a worker may run tasks, in its own time. A deadline counts from a proof of the cell's lease and rests
 * on a reading that arrived before that proof was sent: our clock stands still while this process is suspended, so
 * the deadline can only come too early. A reading taken after the proof and counted back would come too late.
 */
export interface WorkerClock {
    readonly recordReading: (clock: number) => void;
    /** To be called before a proof of the lease is sent; what it returns is to be called once the lease is proved. */
    readonly beginProof: () => () => void;
    /** Deadline on the worker's clock; undefined until the lease was proved after a first reading. */
    readonly deadline: () => number | undefined;
    /** Milliseconds of worker time from now, as far as known, until `deadline`. */
    readonly timeUntil: (deadline: number) => number;
    /** Another life of the worker has another clock. */
    readonly reset: () => void;
}

/** Creates the clock of a worker of which nothing is known. */
export const createWorkerClock = (lease: number, drift: number): WorkerClock => {
    let latest: Sample | undefined;
    let deadline: number | undefined;
    let life = 0;
    const estimate = (sample: Sample, at: number): number => sample.clock + (at - sample.receivedAt) * (1 - drift);
    return {
        recordReading: clock => {
            latest = { clock, receivedAt: performance.now() };
        },
        beginProof: () => {
            const sample = latest;
            const sentAt = performance.now();
            const sentIn = life;
            return () => {
                if (sample !== undefined && sentIn === life) {
                    deadline = Math.max(deadline ?? 0, Math.floor(estimate(sample, sentAt) + lease));
                }
            };
        },
        deadline: () => deadline,
        timeUntil: until => latest === undefined ? 0 : until - (latest.clock + performance.now() - latest.receivedAt),
        reset: () => {
            latest = undefined;
            deadline = undefined;
            life += 1;
        },
    };
};
