import type { Readable } from "node:stream";

/** Header fields by lower-case name. */
export type HeaderFields = Readonly<Record<string, string | readonly string[]>>;

/** A request independent of the transport that it arrived by. */
export interface CallerRequest {
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    readonly headers: HeaderFields;
    readonly body: Readable;
    /** Aborted when the caller disconnects. */
    readonly signal: AbortSignal;
}

/** The response to a {@link CallerRequest}. If `body` fails, the caller's connection has to be destroyed. */
export interface CallerResponse {
    readonly status: number;
    readonly headers: HeaderFields;
    readonly body: Readable;
}
