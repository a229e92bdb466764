import type { CellId, JobId } from "@jayfront/world";

import type { CellSummary } from "../cell/cell-summary.js";
import type { SubmissionReply } from "../cell/submission-reply.js";
import type { CancelReply, StateReply } from "../cell/workflow-operations.js";
import type { PackedChange } from "../configuration/packed-change.js";
import type { Workflow } from "../model/workflow.js";
import type { EntryHostRecord } from "./host-registry.js";

/** What a relay of the configuration says of itself. */
interface RelayState {
    readonly host: EntryHostRecord;
    /** Whether news reach it, from the configuration's source or from a relay of the region nearest to that. */
    readonly hasSource: boolean;
    /** Milliseconds until it says so again. */
    readonly interval: number;
}

/** What one entry host says to another, by kind. */
export interface WorkflowMessages {
    /** Asks the holder of a cell, of whom the sender hears nothing, for a heartbeat. */
    readonly hello: { readonly host: EntryHostRecord; };
    /** Sent by holders of cells to all entry hosts. */
    readonly "cell-heartbeat": {
        readonly host: EntryHostRecord;
        /** Milliseconds until the next one. */
        readonly interval: number;
        readonly configurationVersion: number;
        readonly cells: readonly CellSummary[];
    };
    /** `mayDecline`: other cells are tried where this one has no room. */
    readonly submit: { readonly cell: CellId; readonly workflow: Workflow; readonly mayDecline: boolean; };
    readonly state: { readonly cell: CellId; readonly id: JobId; };
    readonly cancel: { readonly cell: CellId; readonly id: JobId; };
    /** The holder asks the receiver to take a cell over. */
    readonly "take-over": { readonly cell: CellId; readonly epoch: number; };
    /** Asks how long ago the receiver last heard the cell's holder under this epoch or a later one. */
    readonly "holder-heard": { readonly cell: CellId; readonly epoch: number; };
    /** Asks how long ago the receiver last had an answer of the store. */
    readonly "store-contact": object;
    /** Sent by relays to the hosts of their region and to relays of others. */
    readonly "configuration-notice": RelayState & { readonly version: number; };
    /** Sent by relays to a host that has an older version. */
    readonly "configuration-change": RelayState & { readonly change: PackedChange; };
    /** Asks what leads from `version`, 0 for none, to the receiver's. */
    readonly "configuration-wanted": { readonly version: number; };
}

/** Answers by kind of message; `not-holder` where the receiver does not hold the cell. */
export interface WorkflowReplies {
    readonly hello: true;
    readonly "cell-heartbeat": true;
    readonly submit: SubmissionReply;
    readonly state: StateReply;
    readonly cancel: CancelReply;
    readonly "take-over": boolean;
    /** Milliseconds; a long time where it never did. */
    readonly "holder-heard": number;
    /** Milliseconds. */
    readonly "store-contact": number;
    /** Version of the configuration that the receiver now has. */
    readonly "configuration-notice": number;
    readonly "configuration-change": number;
    readonly "configuration-wanted": PackedChange | undefined;
}

/** Kind of a message. */
export type WorkflowMessageKind = keyof WorkflowMessages;

/** A message as it travels. */
export interface WorkflowMessage<Kind extends WorkflowMessageKind = WorkflowMessageKind> {
    readonly kind: Kind;
    readonly body: WorkflowMessages[Kind];
}

const kinds: Record<WorkflowMessageKind, true> = {
    hello: true,
    "cell-heartbeat": true,
    submit: true,
    state: true,
    cancel: true,
    "take-over": true,
    "holder-heard": true,
    "store-contact": true,
    "configuration-notice": true,
    "configuration-change": true,
    "configuration-wanted": true,
};

/** Reads a message; its sender has been authenticated and runs the same release. */
export const parseWorkflowMessage = (value: unknown): WorkflowMessage | undefined => {
    const message = value as Partial<WorkflowMessage> | undefined;
    return typeof message?.kind === "string" && message.kind in kinds && typeof message.body === "object"
        ? message as WorkflowMessage
        : undefined;
};
