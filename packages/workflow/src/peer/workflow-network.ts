import type { PeerConnection, PeerError, SendLimits } from "@jayfront/jayfrontd";
import { createPeerConnection } from "@jayfront/jayfrontd";
import type { Result } from "true-myth";

import type { EntryHostRecord } from "./host-registry.js";
import type { WorkflowMessageKind, WorkflowMessages, WorkflowReplies } from "./workflow-message.js";

/** Sends messages to other entry hosts. */
export interface WorkflowNetwork {
    /** Sends a message and waits for the reply. The result is `not-sent` only if the peer never gets the message. */
    readonly call: <Kind extends WorkflowMessageKind>(
        host: EntryHostRecord,
        kind: Kind,
        body: WorkflowMessages[Kind],
        limits?: SendLimits,
    ) => Promise<Result<WorkflowReplies[Kind], PeerError>>;
    /** Closes all connections. */
    readonly close: () => void;
}

/** Milliseconds after which a call to a peer times out; its connection is closed if nothing was received meanwhile. */
const callTimeout = 1_200;

/** Creates a network with one `ws` connection to each peer, opened when it is first needed. */
export const createWorkflowNetwork = (peerKey: string): WorkflowNetwork => {
    const connections = new Map<string, PeerConnection>();
    const connectionTo = (address: string): PeerConnection => {
        const known = connections.get(address);
        if (known !== undefined && !known.isClosed()) {
            return known;
        }
        const created = createPeerConnection({
            address,
            peerKey,
            tls: undefined,
            timeout: callTimeout,
            onSent: () => undefined,
        });
        connections.set(address, created);
        return created;
    };
    return {
        call: async (host, kind, body, limits) =>
            await connectionTo(host.peerAddress).call({ kind, body }, limits) as never,
        close: () => {
            connections.forEach(connection => {
                connection.close();
            });
        },
    };
};
