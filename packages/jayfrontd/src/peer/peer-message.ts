import type { CellId, Environment, Host, HostId } from "@jayfront/world";
import { z } from "zod";

const cell = z.string().max(128).transform(value => value as CellId);
const host = z.strictObject({
    id: z.string().max(64),
    failureDomain: z.string().max(64),
    address: z.string().max(64),
    peerAddress: z.string().max(64),
}).transform(value => value as Host);

const heartbeat = z.strictObject({
    kind: z.literal("heartbeat"),
    host,
    /** Random id that changes with each start of the host process. */
    incarnation: z.string().max(64),
    isReady: z.boolean(),
    environmentVersion: z.int().min(0),
    /** Milliseconds since the store last confirmed the version; absent if it never did. */
    environmentAge: z.number().min(0).optional(),
    cells: z.array(z.strictObject({
        cell,
        epoch: z.int().min(0),
        /** A caretaker serves requests and keeps tasks alive while the store is unavailable, but starts no task. */
        role: z.enum(["holder", "caretaker"]),
        freeSlots: z.int(),
        queued: z.int().min(0),
    })).max(1_024),
});

/** Schema of the messages that entry hosts send to each other over WebSocket. */
export const peerMessageSchema = z.discriminatedUnion("kind", [
    heartbeat,
    /** Offers the receiver a cell that the sender holds. */
    z.strictObject({ kind: z.literal("cell-offer"), cell, epoch: z.int().min(0) }),
    /** Says that rows of these cells have changed in the store. */
    z.strictObject({ kind: z.literal("cell-changed"), cells: z.array(cell).max(1_024) }),
    /** Requests the receiver's environment document. */
    z.strictObject({ kind: z.literal("environment-wanted") }),
    /** Requests the receiver's status, for operators. */
    z.strictObject({ kind: z.literal("host-status-wanted") }),
    /** Requests an explanation of why tasks of a job wait in a cell, for operators. */
    z.strictObject({
        kind: z.literal("job-explanation-wanted"),
        cell,
        job: z.string().max(128),
        /** Number of times that the message may still be passed on to another host. */
        hops: z.int().min(0).max(2),
    }),
]);

/** A message from one entry host to another. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;

/** State of a host, sent to its peers at a fixed interval. */
export type Heartbeat = Extract<PeerMessage, { kind: "heartbeat"; }>;

/** A cell that a host claims in its heartbeat. */
export type CellClaim = Heartbeat["cells"][number];

/** Status of a host for operators. */
export interface HostStatus {
    readonly host: HostId;
    readonly failureDomain: string;
    readonly isReady: boolean;
    readonly environmentVersion: number;
    /** Milliseconds since the store last confirmed the host's version; undefined if it never did. */
    readonly confirmedAge: number | undefined;
    readonly cells:
        readonly (CellClaim & { readonly workers: number; readonly pending: number; readonly running: number; })[];
    readonly requestsInFlight: number;
}

/** Type of the reply to each kind of message. */
export interface PeerReplies {
    readonly heartbeat: true;
    readonly "cell-offer": boolean;
    readonly "cell-changed": true;
    readonly "environment-wanted": Environment | undefined;
    readonly "host-status-wanted": HostStatus;
    readonly "job-explanation-wanted": readonly string[];
}

/** Handles a message from a peer and resolves with the reply. */
export type PeerHandler = (message: PeerMessage) => Promise<unknown>;
