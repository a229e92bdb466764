import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import { isShortLived } from "../policy/short-lived-room.js";

/** Millicores that the waiting tasks of a workflow's short-lived steps request, of those steps that may run now. */
export const waitingShortLivedCpu = ({ workflow: { steps }, firstStage }: WorkflowLedger): number => {
    const recordOf = (number: number) => firstStage(number)?.record;
    const isDone = (number: number): boolean => recordOf(number)?.done.size === steps[number]?.count;
    let waiting = 0;
    for (const [number, step] of steps.entries()) {
        if (isShortLived(step) && step.after.every(isDone)) {
            waiting += (recordOf(number)?.waiting.size ?? step.count) * step.cpu;
        }
    }
    return waiting;
};
