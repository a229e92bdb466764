/** Processor time that the work of an entry host takes, in milliseconds of one core. */
export interface HostWork {
    /** A call to a worker or to the store; half of it for its answer. */
    readonly perCall: number;
    /** A kilobyte of an answer of the store. */
    readonly perStoreKilobyte: number;
    /** A message to or from a peer, with its reply. */
    readonly perMessage: number;
    /** A start order, with the placement of the task. */
    readonly perStart: number;
    /** The callback of a timer. */
    readonly perTimer: number;
}
