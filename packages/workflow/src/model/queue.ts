import type { ServiceId } from "@jayfront/world";

/** Limits of the advisory service that approves workers for the steps of a queue. */
export interface AdviceLimits {
    /** Milliseconds that one call takes at least. */
    readonly decisionTime: number;
    /** Milliseconds added for each worker named in a call. */
    readonly timePerWorker: number;
    /** Milliseconds for which a ticket is valid. */
    readonly validity: number;
}

/** Where submitters send workflows of one kind, and how these are to be treated. */
export interface Queue {
    readonly name: string;
    /** Value of the `Host` header that selects the queue. */
    readonly hostName: string;
    /** Start of the paths that select the queue; ends with a slash. */
    readonly pathPrefix: string;
    /** Pool of workers that run the queue's tasks. */
    readonly service: ServiceId;
    /** 0 comes first and may preempt others. */
    readonly priority: number;
    /** Failed runs of one task after which its workflow has failed. */
    readonly maxAttempts: number;
    /** Objective of a workflow as a multiple of its longest chain of work. */
    readonly slackFactor: number;
    /** Milliseconds added to the objective. */
    readonly latencyTarget: number;
    readonly advice?: AdviceLimits;
}
