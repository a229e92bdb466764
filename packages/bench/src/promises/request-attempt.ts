import type { ObservedResponse } from "../cluster/local-cluster.js";

/** One attempt of a caller's request, with the response that the caller saw. */
export interface RequestAttempt {
    /** Differs between attempts; endpoints log it. */
    readonly requestId: string;
    readonly service: string;
    /** Idempotency key, the same for all attempts of one request. */
    readonly key: string | undefined;
    readonly body: string;
    /** Host that the request was sent to. */
    readonly host: string;
    readonly response: ObservedResponse;
}
