/** What a stand-in's door answers; `undefined` body for none. */
export interface ProtocolAnswer {
    readonly status: number;
    readonly body?: unknown;
}

/** Status that stands for a connection which broke off before an answer. */
export const connectionLostStatus = 0;

/** One call as it arrives at a door. */
export interface ProtocolCall {
    readonly method: string;
    /** Path without query. */
    readonly path: string;
    readonly query: URLSearchParams;
    readonly body: unknown;
    readonly headers: Readonly<Record<string, string>>;
}

/** Answers calls; one that waits for something resolves later. */
export type ProtocolHandler = (call: ProtocolCall) => Promise<ProtocolAnswer> | ProtocolAnswer;
