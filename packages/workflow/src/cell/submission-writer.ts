import type { Logger } from "pino";

import type { Workflow } from "../model/workflow.js";
import type { StateStore } from "../port/state-store.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import type { CellLease } from "./cell-lease.js";
import type { EncodedWorkflow, StoreAttempt } from "./store-workflows.js";
import { maxWorkflowsPerTransaction, storeWorkflows } from "./store-workflows.js";

/**
 * Stores the new workflows of a cell. A workflow that arrives while no transaction is under way is written at once; all
 * that arrive while one is share the next one, so that a slow store takes more workflows per transaction instead of
 * more transactions.
 */
export interface SubmissionWriter {
    /**
     * Tries once to store a workflow. `isAwaited` is asked before the write is sent: a workflow that nobody waits for
     * any more is not written, and the attempt is `refused`.
     */
    readonly store: (workflow: Workflow, isAwaited: () => boolean) => Promise<StoreAttempt>;
}

/** Options of {@link createSubmissionWriter}. */
export interface SubmissionWriterOptions {
    readonly store: StateStore;
    readonly lease: CellLease;
    readonly logger: Logger;
    readonly metrics: Pick<WorkflowMetrics, "submissionGroups">;
}

interface WaitingSubmission extends EncodedWorkflow {
    /** Bytes of `value` in UTF-8. */
    readonly bytes: number;
    /** Whether it goes into a transaction of its own, since the store may not accept it. */
    isAlone: boolean;
    readonly isAwaited: () => boolean;
    readonly resolve: (attempt: StoreAttempt) => void;
}

/**
 * Transactions under way at a time. The store carries out the transactions of a cell one after another, so that more of
 * them would only wait there; the second one matters if the answer to the first is lost.
 */
const maxTransactions = 2;
/** Milliseconds for which the first transaction must be under way before a second one is sent. */
const secondTransactionDelay = 150;
/** Share of the largest value above which a row is written alone, since the store may not accept it. */
const largeRowShare = 0.73;

/** Creates a writer without waiting submissions. */
export const createSubmissionWriter = (
    { store, lease, logger, metrics }: SubmissionWriterOptions,
): SubmissionWriter => {
    let waiting: WaitingSubmission[] = [];
    let transactions = 0;

    /** Removes the submissions of the next transaction from the queue. */
    const takeGroup = (): readonly WaitingSubmission[] => {
        const group: WaitingSubmission[] = [];
        let bytes = 0;
        for (const submission of waiting.slice(0, maxWorkflowsPerTransaction(store.limits))) {
            bytes += submission.bytes + Buffer.byteLength(lease.cell);
            if (group.length > 0 && (submission.isAlone || bytes > store.limits.bytes)) {
                break;
            }
            group.push(submission);
            if (submission.isAlone) {
                break;
            }
        }
        waiting = waiting.slice(group.length);
        return group;
    };
    const dropUnawaited = (): void => {
        const unawaited = waiting.filter(({ isAwaited }) => !isAwaited());
        waiting = waiting.filter(submission => !unawaited.includes(submission));
        unawaited.forEach(({ resolve }) => {
            resolve({ kind: "refused" });
        });
    };
    const writeGroup = async (group: readonly WaitingSubmission[]): Promise<void> => {
        metrics.submissionGroups.observe(group.length);
        const attempts = await storeWorkflows({ store, lease, workflows: group, logger });
        const repeated: WaitingSubmission[] = [];
        for (const submission of group) {
            const attempt = attempts.get(submission.workflow.id);
            if (attempt?.kind === "not-written") {
                repeated.push(submission);
            }
            else if (attempt?.kind === "rejected" && group.length > 1) {
                // The fault may be in another submission of the group.
                submission.isAlone = true;
                repeated.push(submission);
            }
            else if (attempt !== undefined) {
                submission.resolve(attempt);
            }
        }
        waiting = [...repeated, ...waiting];
    };
    const writeNext = (): void => {
        dropUnawaited();
        if (waiting.length === 0 || transactions >= maxTransactions) {
            return;
        }
        transactions += 1;
        const group = takeGroup();
        const secondTransaction = setTimeout(writeNext, secondTransactionDelay);
        void writeGroup(group).finally(() => {
            clearTimeout(secondTransaction);
            transactions -= 1;
            writeNext();
        });
    };
    return {
        store: (workflow, isAwaited) =>
            new Promise(resolve => {
                const value = JSON.stringify(workflow);
                const bytes = Buffer.byteLength(value);
                if (bytes > store.limits.valueBytes) {
                    const { valueBytes } = store.limits;
                    logger.warn(
                        { job: workflow.id, cell: lease.cell, bytes, valueBytes },
                        "workflow refused: it is larger than a row of the store; submit it as several workflows",
                    );
                    resolve({ kind: "rejected" });
                    return;
                }
                const isAlone = bytes > store.limits.valueBytes * largeRowShare;
                waiting.push({ workflow, value, bytes, isAlone, isAwaited, resolve });
                if (transactions === 0) {
                    writeNext();
                }
            }),
    };
};
