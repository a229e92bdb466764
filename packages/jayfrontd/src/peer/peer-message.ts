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
    /** Differs between two lives of the same host. */
    incarnation: z.string().max(64),
    isReady: z.boolean(),
    environmentVersion: z.int().min(0),
    /** Milliseconds since the store confirmed the version. */
    environmentAge: z.number().min(0).optional(),
    cells: z.array(z.strictObject({
        cell,
        epoch: z.int().min(0),
        /** A caretaker serves requests and keeps tasks alive while the store is away, but starts no task. */
        role: z.enum(["holder", "caretaker"]),
        freeSlots: z.int(),
        queued: z.int().min(0),
    })).max(1_024),
});

/** Schema of all that entry hosts say to each other over `ws`. */
export const peerMessageSchema = z.discriminatedUnion("kind", [
    heartbeat,
    /** The holder asks the receiver to take a cell over. */
    z.strictObject({ kind: z.literal("cell-offer"), cell, epoch: z.int().min(0) }),
    /** Rows of these cells have changed in the store. */
    z.strictObject({ kind: z.literal("cell-changed"), cells: z.array(cell).max(1_024) }),
    /** Asks for the receiver's environment document. */
    z.strictObject({ kind: z.literal("environment-wanted") }),
    /** Asks what the receiver knows of itself, for operators. */
    z.strictObject({ kind: z.literal("host-status-wanted") }),
    /** Asks why a job of a cell waits, for operators. */
    z.strictObject({
        kind: z.literal("job-explanation-wanted"),
        cell,
        job: z.string().max(128),
        /** Hosts that may be asked in turn. */
        hops: z.int().min(0).max(2),
    }),
]);

/** What one entry host says to another. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;

/** A heartbeat as received. */
export type Heartbeat = Extract<PeerMessage, { kind: "heartbeat"; }>;

/** What a heartbeat says of one cell. */
export type CellClaim = Heartbeat["cells"][number];

/** What a host tells operators of itself. */
export interface HostStatus {
    readonly host: HostId;
    readonly failureDomain: string;
    readonly isReady: boolean;
    readonly environmentVersion: number;
    /** Milliseconds since the host last confirmed its version with the store; undefined before the first time. */
    readonly confirmedAge: number | undefined;
    readonly cells:
        readonly (CellClaim & { readonly workers: number; readonly pending: number; readonly running: number; })[];
    readonly requestsInFlight: number;
}

/** Replies by kind of message. */
export interface PeerReplies {
    readonly heartbeat: true;
    readonly "cell-offer": boolean;
    readonly "cell-changed": true;
    readonly "environment-wanted": Environment | undefined;
    readonly "host-status-wanted": HostStatus;
    readonly "job-explanation-wanted": readonly string[];
}

/** Answers a message of a peer. */
export type PeerHandler = (message: PeerMessage) => Promise<unknown>;
