import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import { createWorkflowLedger } from "../ledger/workflow-ledger.js";
import type { TransferRow } from "./transfer-row.js";

/**
 * Creates the ledger by which a cell runs long-running tasks of another cell's workflow. All other tasks of the workflow
 * count as done: the workflow's cell runs them, and has started the steps that the transferred tasks depend on.
 */
export const createTransferredLedger = ({ workflow, tasks }: TransferRow): WorkflowLedger => {
    const present = tasks.filter(({ isReturned }) => !isReturned);
    const isTransferred = (step: number, index: number): boolean =>
        present.some(task => task.step === step && task.index === index);
    const ledger = createWorkflowLedger(workflow, {
        isCancelled: false,
        isFailed: false,
        hasStarted: true,
        steps: workflow.steps.map(({ count }, step) => ({
            occurrence: 0,
            step,
            done: [...Array(count).keys()].filter(index => !isTransferred(step, index)),
            failures: [],
            crashes: [],
            checkpoints: [],
            lastRuns: [],
        })),
        transfers: [],
    });
    // They ran before, or have waited without finding room, and therefore go first.
    present.forEach(task => {
        ledger.recordStart(task);
        ledger.markWaiting(task);
    });
    return ledger;
};
