/** Times by which a cell is held, in milliseconds unless they say otherwise. */
export interface CellTiming {
    /** Longest time that a worker lets tasks run without a new deadline, as the platform limits it. */
    readonly longestLease: number;
    /** Time within which a worker has stopped a task. */
    readonly stopTime: number;
    /** How long workflows are known after they have ended. */
    readonly retention: number;
    /** Share by which a worker's clock may be slow. */
    readonly clockDrift: number;
    /** Longest delay with which a worker may carry out an order that it never answered. */
    readonly lateOrderTime: number;
}

/** Milliseconds that a lease lasts at most: an outage of the store this long costs no work, a lost worker this much time. */
const wantedLease = 6_000;
/** Share of the longest lease that is used, so that clock samples and delays never reach the limit. */
const leaseShare = 0.9;

/** Milliseconds from the proof of a cell's lease for which the cell's workers may run tasks. */
export const leaseDuration = (timing: CellTiming): number => Math.min(wantedLease, timing.longestLease * leaseShare);
