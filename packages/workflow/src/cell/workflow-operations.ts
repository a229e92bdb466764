import type { JobId } from "@jayfront/world";
import type { Logger } from "pino";

import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { WorkflowState } from "../model/workflow.js";
import type { CellLease } from "./cell-lease.js";
import type { ProgressWriter } from "./progress-writer.js";
import type { RunKeeper } from "./run-keeper.js";
import type { WorkflowIntake } from "./workflow-intake.js";

/** What a cell answers to a question for a workflow; `unknown` where the store has to be read and can't be. */
export type StateReply = WorkflowState | "not-known" | "unknown" | "not-holder";
/** What a cell answers to a cancellation; `unknown` where it may be stored. */
export type CancelReply = "cancelled" | "not-known" | "unknown" | "not-holder";

/** Answers of a loaded cell to what is asked of its workflows. */
export interface WorkflowOperations {
    /** `not-known` only where the cell has no rows of the workflow. */
    readonly state: (id: JobId) => Promise<StateReply>;
    /** Resolves once the cancellation is stored, or the cell is lost. */
    readonly cancel: (id: JobId) => Promise<CancelReply>;
}

/** Options of {@link createWorkflowOperations}. */
export interface WorkflowOperationsOptions {
    readonly ledgers: ReadonlyMap<JobId, WorkflowLedger>;
    readonly intake: WorkflowIntake;
    readonly lease: CellLease;
    readonly writer: Pick<ProgressWriter, "request">;
    readonly keeper: Pick<RunKeeper, "stopWorkflow">;
    readonly logger: Logger;
    /** Whether other hosts hear a later holder; asked where the store does not tell. */
    readonly hasSuccessor: () => Promise<boolean>;
    /** Aborts when the cell is given up. */
    readonly signal: AbortSignal;
}

/** Creates the inquiries of a cell. */
export const createWorkflowOperations = (options: WorkflowOperationsOptions): WorkflowOperations => {
    const { ledgers, intake, lease, writer, keeper, logger, hasSuccessor, signal } = options;
    const { cell, epoch } = lease;

    const storeCancellation = async (ledger: WorkflowLedger): Promise<CancelReply> => {
        if (!ledger.isSettled()) {
            ledger.noteCancelled();
            keeper.stopWorkflow(ledger.workflow.id, "the workflow was cancelled");
            logger.info({ job: ledger.workflow.id, cell, epoch }, "workflow cancelled");
        }
        if (ledger.isDirty()) {
            await new Promise<void>(resolve => {
                writer.request(ledger, resolve);
                signal.addEventListener("abort", () => {
                    resolve();
                }, { once: true });
            });
        }
        return ledger.isDirty() ? "unknown" : "cancelled";
    };
    return {
        state: async id => {
            const known = ledgers.get(id)?.state();
            if (known === "queued" || known === "running") {
                // A host that was frozen or cut off may have a successor that knows of the end.
                const isDeposed = !await lease.confirm() && (lease.isLost() || await hasSuccessor());
                return isDeposed ? "not-holder" : ledgers.get(id)?.state() ?? known;
            }
            return known ?? await intake.find(id);
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
            // Found, and not taken in: it has ended.
            return state === "not-known" || state === "unknown" ? state : "cancelled";
        },
    };
};
