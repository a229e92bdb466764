import type { Readable } from "node:stream";

import type { Fence, ServiceId, Worker } from "@jayfront/world";
import type { Result } from "true-myth";

import type { PlatformError } from "./platform-error.js";

/** A request to an endpoint. */
export interface EndpointRequest {
    readonly service: ServiceId;
    readonly method: string;
    /** Path and query below the service, with a leading slash. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string | readonly string[]>>;
    readonly body: Readable;
    /** Fence of the sender's lease on the worker; the worker refuses the request if it is not the current one. */
    readonly fence: Fence;
    /** Aborts the request when its deadline has passed or the caller has disconnected. */
    readonly signal: AbortSignal;
}

/** An endpoint's response. If `body` emits an error, it is truncated and must not be forwarded as complete. */
export interface EndpointResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | readonly string[]>>;
    readonly body: Readable;
}

/**
 * Sends requests to the endpoints on workers. After `refused` and `unavailable` the request was not executed; after
 * `unknown` it may have been.
 */
export interface EndpointInterface {
    readonly dispatch: (
        worker: Worker,
        request: EndpointRequest,
    ) => Promise<Result<EndpointResponse, PlatformError>>;
}
