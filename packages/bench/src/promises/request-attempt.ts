import type { ObservedResponse } from "../cluster/local-cluster.js";

/** One try of a caller's request, with what the caller saw. */
export interface RequestAttempt {
    /** Differs between tries; endpoints log it. */
    readonly requestId: string;
    readonly service: string;
    /** Idempotency key, the same for all tries of one request. */
    readonly key: string | undefined;
    readonly body: string;
    /** Host that the request was sent to. */
    readonly host: string;
    readonly response: ObservedResponse;
}
