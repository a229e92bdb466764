/** A handler's answer. If `body` is undefined, the answer has none. */
export interface ProtocolAnswer {
    readonly status: number;
    readonly body?: unknown;
}

/** Status that represents a connection that was closed before an answer was sent. */
export const connectionLostStatus = 0;

/** A call as a handler receives it. */
export interface ProtocolCall {
    readonly method: string;
    /** Path without query. */
    readonly path: string;
    readonly query: URLSearchParams;
    /** The decoded JSON body; undefined if the call has none. */
    readonly body: unknown;
    readonly headers: Readonly<Record<string, string>>;
    /** Monotonic time in milliseconds at which the call was sent, if a fault has delayed it since. */
    readonly sentAt?: number;
}

/** Handles a call to the store or a worker. */
export type ProtocolHandler = (call: ProtocolCall) => Promise<ProtocolAnswer> | ProtocolAnswer;
