import type { PeerConnection, PeerError } from "@jayfront/jayfrontd";
import { createPeerConnection } from "@jayfront/jayfrontd";
import type { Result } from "true-myth";

import type { EntryHostRecord } from "./host-registry.js";
import type { WorkflowMessageKind, WorkflowMessages, WorkflowReplies } from "./workflow-message.js";

/** How entry hosts reach each other. */
export interface WorkflowNetwork {
    readonly call: <Kind extends WorkflowMessageKind>(
        host: EntryHostRecord,
        kind: Kind,
        body: WorkflowMessages[Kind],
    ) => Promise<Result<WorkflowReplies[Kind], PeerError>>;
    readonly close: () => void;
}

/** Milliseconds until a call to a peer counts as unanswered; its connection is closed then. */
const callTimeout = 1_200;

/** Reaches peers over one `ws` connection each, opened when it is first needed. */
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
        call: async (host, kind, body) => await connectionTo(host.peerAddress).call({ kind, body }) as never,
        close: () => {
            connections.forEach(connection => {
                connection.close();
            });
        },
    };
};
