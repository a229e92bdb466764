import type { JobId } from "@jayfront/world";
import type { Logger } from "pino";

import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { WorkflowState } from "../model/workflow.js";
import type { CellLease } from "./cell-lease.js";
import type { ProgressWriter } from "./progress-writer.js";
import type { RunController } from "./run-controller.js";
import type { WorkflowIntake } from "./workflow-intake.js";

/**
 * A cell's reply to a query for the state of a workflow. `not-known`: the cell has no rows of it. `unknown`: the store
 * had to be read and could not be. `not-holder`: the host does not hold the cell, or has not loaded it yet.
 */
export type StateReply = WorkflowState | "not-known" | "unknown" | "not-holder";
/**
 * A cell's reply to a cancellation. `cancelled`: the workflow has ended, by this cancellation or before. `unknown`: the
 * cancellation may have been stored, the workflow's state could not be read, or its submission is still in progress.
 * The others are as in {@link StateReply}.
 */
export type CancelReply = "cancelled" | "not-known" | "unknown" | "not-holder";

/** Queries and cancellations of the workflows of a cell that has been loaded. */
export interface WorkflowOperations {
    /** State of a workflow; `not-known` only if the cell has no rows of it. */
    readonly state: (id: JobId) => Promise<StateReply>;
    /** Cancels a workflow; resolves once the cancellation is stored or the cell is lost. */
    readonly cancel: (id: JobId) => Promise<CancelReply>;
}

/** Options of {@link createWorkflowOperations}. */
export interface WorkflowOperationsOptions {
    readonly ledgers: ReadonlyMap<JobId, WorkflowLedger>;
    readonly intake: WorkflowIntake;
    readonly lease: CellLease;
    readonly writer: Pick<ProgressWriter, "request">;
    readonly runController: Pick<RunController, "stopWorkflow">;
    readonly logger: Logger;
    /** Whether another host receives heartbeats of a later holder; called if the store can't confirm the lease. */
    readonly hasSuccessor: () => Promise<boolean>;
    /** Aborts when the cell is stopped or its lease is lost. */
    readonly signal: AbortSignal;
}

/** Creates the operations of a cell. */
export const createWorkflowOperations = (options: WorkflowOperationsOptions): WorkflowOperations => {
    const { ledgers, intake, lease, writer, runController, logger, hasSuccessor, signal } = options;
    const { cell, epoch } = lease;

    /** Waits until the ledger's state is stored or the cell is lost; resolves to whether it is stored. */
    const waitUntilStored = async (ledger: WorkflowLedger): Promise<boolean> => {
        if (ledger.isDirty()) {
            await new Promise<void>(resolve => {
                writer.request(ledger, resolve);
                signal.addEventListener("abort", () => {
                    resolve();
                }, { once: true });
            });
        }
        return !ledger.isDirty();
    };
    const storeCancellation = async (ledger: WorkflowLedger): Promise<CancelReply> => {
        if (ledger.move() !== undefined) {
            // The cell that it moves to cancels it.
            return await waitUntilStored(ledger) ? "not-known" : "unknown";
        }
        if (!ledger.isSettled()) {
            ledger.recordCancellation();
            runController.stopWorkflow(ledger.workflow.id, "the workflow was cancelled");
            logger.info({ job: ledger.workflow.id, cell, epoch }, "workflow cancelled");
        }
        return await waitUntilStored(ledger) ? "cancelled" : "unknown";
    };
    return {
        state: async id => {
            const state = ledgers.get(id)?.state();
            if (state === "queued" || state === "running") {
                // If this host was suspended or partitioned, a successor may have stored the workflow's end.
                const isSuperseded = !await lease.confirm() && (lease.isLost() || await hasSuccessor());
                return isSuperseded ? "not-holder" : ledgers.get(id)?.state() ?? state;
            }
            return state ?? await intake.find(id);
        },
        cancel: async id => {
            if (!ledgers.has(id) && intake.hasPendingSubmission(id)) {
                return "unknown";
            }
            const state = ledgers.has(id) ? undefined : await intake.find(id);
            const ledger = ledgers.get(id);
            if (signal.aborted) {
                return "not-holder";
            }
            if (ledger !== undefined) {
                return storeCancellation(ledger);
            }
            // A workflow that was found but has no ledger has ended, or has moved to another cell since.
            const isOpen = state === "queued" || state === "running";
            return state === "not-known" || state === "unknown" ? state : isOpen ? "unknown" : "cancelled";
        },
    };
};
