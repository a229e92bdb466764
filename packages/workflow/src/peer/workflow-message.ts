import type { CellId, JobId } from "@jayfront/world";

import type { CellLoad } from "../cell/cell-load.js";
import type { CellSummary } from "../cell/cell-summary.js";
import type { SubmissionReply } from "../cell/submission-reply.js";
import type { TransferRoomRequest } from "../cell/transfer-room.js";
import type { CancelReply, StateReply } from "../cell/workflow-operations.js";
import type { WorkflowRoomRequest } from "../cell/workflow-room.js";
import type { PackedChange } from "../configuration/packed-change.js";
import type { Workflow } from "../model/workflow.js";
import type { EntryHostRecord } from "./host-registry.js";

/** The state of a configuration relay, as it reports it. */
interface RelayState {
    readonly host: EntryHostRecord;
    /** Whether configuration changes reach it, from the source or from a relay of the region nearest to the store. */
    readonly hasSource: boolean;
    /** Milliseconds until its next notice. */
    readonly interval: number;
}

/** Bodies of the messages between entry hosts, by kind. */
export interface WorkflowMessages {
    /** Requests a heartbeat from the holder of a cell, from which the sender has received none. */
    readonly hello: { readonly host: EntryHostRecord; };
    /** Sent by holders of cells to all entry hosts. */
    readonly "cell-heartbeat": {
        readonly host: EntryHostRecord;
        /** Milliseconds until the next heartbeat. */
        readonly interval: number;
        readonly configurationVersion: number;
        readonly cells: readonly CellSummary[];
    };
    /**
     * Submits a workflow. `mayDecline`: the cell may decline for lack of capacity; other cells are tried then.
     * `knownLongRunningCpu`: the millicores of the cell's long-running work by which it was chosen, if they were asked for.
     */
    readonly submit: {
        readonly cell: CellId;
        readonly workflow: Workflow;
        readonly mayDecline: boolean;
        readonly knownLongRunningCpu?: number;
    };
    readonly state: { readonly cell: CellId; readonly id: JobId; };
    readonly cancel: { readonly cell: CellId; readonly id: JobId; };
    /** Asks for the load of the cell now. */
    readonly "cell-load": { readonly cell: CellId; };
    /** Asks how many long-running tasks the cell could run for another cell. */
    readonly "transfer-room": { readonly cell: CellId; readonly request: TransferRoomRequest; };
    /** Asks how many tasks of a waiting workflow of another cell the cell could start now. */
    readonly "workflow-room": { readonly cell: CellId; readonly request: WorkflowRoomRequest; };
    /** Tells the holder of a cell that a workflow has moved there. */
    readonly "workflow-moved": { readonly cell: CellId; readonly id: JobId; };
    /** Tells the holder of a cell that another cell has changed the rows of the tasks that it transferred there. */
    readonly "transfers-changed": { readonly cell: CellId; };
    /** Tells the holder of a workflow's cell that the cell `from` has returned tasks of the workflow. */
    readonly "tasks-returned": { readonly cell: CellId; readonly id: JobId; readonly from: CellId; };
    /** Sent by a cell's holder; asks the receiver to take the cell over. */
    readonly "take-over": { readonly cell: CellId; readonly epoch: number; };
    /** Asks how long ago the receiver last got a heartbeat of the cell's holder with this epoch or a later one. */
    readonly "holder-heard": { readonly cell: CellId; readonly epoch: number; };
    /** Asks how long ago the receiver last got an answer from the store, plus the recent delay of its process. */
    readonly "store-contact": object;
    /** Sent by relays to the hosts of their region and to the relays of other regions. */
    readonly "configuration-notice": RelayState & { readonly version: number; };
    /** Sent by relays to a host that has an older version. */
    readonly "configuration-change": RelayState & { readonly change: PackedChange; };
    /** Asks for the change from `version` (0: no configuration) to the receiver's version. */
    readonly "configuration-wanted": { readonly version: number; };
}

/** Replies by kind of message; `not-holder` if the receiver does not hold the cell. */
export interface WorkflowReplies {
    readonly hello: true;
    readonly "cell-heartbeat": true;
    readonly submit: SubmissionReply;
    readonly state: StateReply;
    readonly cancel: CancelReply;
    /** Undefined if the receiver does not hold the cell. */
    readonly "cell-load": CellLoad | undefined;
    /** Number of tasks; 0 if the receiver does not hold the cell. */
    readonly "transfer-room": number;
    /** Number of tasks; 0 if the receiver does not hold the cell. */
    readonly "workflow-room": number;
    readonly "workflow-moved": true;
    readonly "transfers-changed": true;
    readonly "tasks-returned": true;
    readonly "take-over": boolean;
    /** Milliseconds; `neverHeard` if it got none. */
    readonly "holder-heard": number;
    /** Milliseconds. */
    readonly "store-contact": number;
    /** Configuration version that the receiver has after the message; likewise for `configuration-change`. */
    readonly "configuration-notice": number;
    readonly "configuration-change": number;
    /** Undefined if the receiver has no newer version. */
    readonly "configuration-wanted": PackedChange | undefined;
}

/** Kind of a message between entry hosts. */
export type WorkflowMessageKind = keyof WorkflowMessages;

/** A message as it is sent between entry hosts. */
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
    "cell-load": true,
    "transfer-room": true,
    "workflow-room": true,
    "workflow-moved": true,
    "transfers-changed": true,
    "tasks-returned": true,
    "take-over": true,
    "holder-heard": true,
    "store-contact": true,
    "configuration-notice": true,
    "configuration-change": true,
    "configuration-wanted": true,
};

/**
 * Checks that a value has the outer shape of a message; undefined if not. The body's fields are not validated: the
 * sender has been authenticated and runs the same release.
 */
export const parseWorkflowMessage = (value: unknown): WorkflowMessage | undefined => {
    const message = value as Partial<WorkflowMessage> | undefined;
    return typeof message?.kind === "string" && message.kind in kinds && typeof message.body === "object"
        ? message as WorkflowMessage
        : undefined;
};
