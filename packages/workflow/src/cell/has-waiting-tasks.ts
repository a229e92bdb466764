import type { WorkflowLedger } from "../ledger/workflow-ledger.js";

/** Whether the workflow has tasks without a run that may run now, or has not been looked at by a placement pass. */
export const hasWaitingTasks = (ledger: WorkflowLedger): boolean => {
    const { workflow: { schedule, steps }, firstStage } = ledger;
    if (ledger.isSettled()) {
        return false;
    }
    return schedule === undefined && ledger.state() === "queued" || steps.some((...[, number]) => {
        const record = firstStage(number)?.record;
        return record?.readySince !== undefined && record.waiting.size > 0;
    });
};
