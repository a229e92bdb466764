/** Durations that govern how a cell and the tasks on its workers are held, in milliseconds unless stated otherwise. */
export interface CellTiming {
    /** Longest time for which a worker lets its tasks run without a new deadline; a limit of the platform. */
    readonly longestLease: number;
    /** Longest time that a worker needs to stop a task. */
    readonly stopTime: number;
    /** Time for which the state of a workflow can be queried after it has ended. */
    readonly retention: number;
    /** Fraction by which a worker's clock may run slow. */
    readonly clockDrift: number;
    /** Longest delay after which a worker may still carry out an order that it did not answer. */
    readonly lateOrderTime: number;
}

/**
 * Upper bound of the lease duration in milliseconds. Work survives a store outage that is shorter; tasks of an
 * unreachable worker start elsewhere only after this time.
 */
const maxLeaseDuration = 6_000;
/** Fraction of the platform's limit that is used, so that delays and clock errors don't reach the limit. */
const leaseShare = 0.9;

/** Milliseconds for which the workers of a cell may run tasks after a proof of the cell's lease. */
export const leaseDuration = (timing: CellTiming): number =>
    Math.min(maxLeaseDuration, timing.longestLease * leaseShare);
