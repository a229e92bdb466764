import type { Host } from "@jayfront/world";
import type { Result } from "true-myth";

import type { CallerRequest, CallerResponse } from "../http/exchange.js";
import type { PeerMessage, PeerReplies } from "./peer-message.js";

/** Failure of a call to a peer. `not-sent`: nothing reached the peer. `unknown`: the peer may have acted on it. */
export interface PeerError {
    readonly kind: "not-sent" | "unknown";
    readonly message: string;
}

/** Transport between entry hosts. */
export interface PeerNetwork {
    /** Sends a control message and waits for its reply. */
    readonly call: <Kind extends PeerMessage["kind"]>(
        host: Host,
        message: Extract<PeerMessage, { kind: Kind; }>,
    ) => Promise<Result<PeerReplies[Kind], PeerError>>;
    /** Forwards a request with its body and returns the peer's response. */
    readonly forward: (host: Host, request: CallerRequest) => Promise<Result<CallerResponse, PeerError>>;
}
