import type { ServiceId } from "@jayfront/world";

/** Limits of the advisory service that approves workers for the steps of a queue. */
export interface AdviceLimits {
    /** Milliseconds that a call takes at least. */
    readonly decisionTime: number;
    /** Milliseconds added for each worker named in a call. */
    readonly timePerWorker: number;
    /** Milliseconds for which a ticket, the approval of a worker, is valid. */
    readonly validity: number;
}

/** A queue to which workflows are submitted, with the rules for scheduling them. */
export interface Queue {
    readonly name: string;
    /** Value of the `Host` header that selects the queue. */
    readonly hostName: string;
    /** Prefix of the request paths that select the queue; ends with a slash. */
    readonly pathPrefix: string;
    /** Service whose workers run the queue's tasks. */
    readonly service: ServiceId;
    /** 0 comes first and may preempt other priorities. */
    readonly priority: number;
    /** Number of failed runs of one task at which its workflow fails. */
    readonly maxAttempts: number;
    /** Time objective of a workflow as a multiple of its critical path. */
    readonly slackFactor: number;
    /** Milliseconds added to that objective. */
    readonly latencyTarget: number;
    /** Present where an advisory service approves workers for the queue. */
    readonly advice?: AdviceLimits;
}
