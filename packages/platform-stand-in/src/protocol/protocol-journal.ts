/** An event on a worker, as the stand-in records it. `at` is monotonic time in milliseconds. */
export type ProtocolEvent =
    | {
        readonly kind: "started";
        readonly at: number;
        readonly worker: string;
        readonly task: string;
        readonly run: number;
        /** Failure domain of the worker. */
        readonly failureDomain?: string;
        /** Monotonic time in milliseconds at which the order was sent, if the stand-in carried it out late. */
        readonly sentAt?: number;
    }
    | {
        readonly kind: "ended";
        readonly at: number;
        readonly worker: string;
        readonly task: string;
        readonly run: number;
        /** Outcome of the run. */
        readonly how: string;
    }
    /** The worker was told that an end is recorded, so that it deletes its own record of it. */
    | {
        readonly kind: "acknowledged";
        readonly at: number;
        readonly worker: string;
        readonly task: string;
        /** Outcome of the run. */
        readonly how: string;
        /** Monotonic time in milliseconds at which the run ended. */
        readonly endedAt: number;
        /** Whether the worker's lease has expired since the end, so that the task may have started elsewhere. */
        readonly hasLapsed: boolean;
    };

/** The operator's request that nothing more start in a failure domain. Times are monotonic, in milliseconds. */
export interface EvacuationPeriod {
    readonly failureDomain: string;
    /** Time at which the store acknowledged the request. */
    readonly from: number;
    /** Time at which the request was removed; Infinity while it stands. */
    until: number;
}

/** The events on all workers, and the operator's requests, each in order. */
export interface ProtocolJournal {
    readonly events: readonly ProtocolEvent[];
    readonly record: (event: ProtocolEvent) => void;
    readonly evacuations: EvacuationPeriod[];
}

/** Creates an empty journal. */
export const createProtocolJournal = (): ProtocolJournal => {
    const events: ProtocolEvent[] = [];
    return {
        events,
        evacuations: [],
        record: event => {
            events.push(event);
        },
    };
};
