import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { Queue } from "../model/queue.js";
import { remainingPaths } from "../policy/remaining-paths.js";
import { uselessFactor } from "../policy/useless-factor.js";
import type { WaitingWork } from "../policy/waiting-work.js";
import { poolOf } from "../policy/waiting-work.js";
import type { RunTimePredictor } from "./run-statistics.js";

/** The work of a workflow's short-lived steps that has not started, also of steps that wait for others; `now` in Unix ms. */
export const waitingWorkOf = (
    ledger: WorkflowLedger,
    queue: Queue,
    runTime: RunTimePredictor,
    now: number,
): readonly WaitingWork[] => {
    const { workflow: { id, steps, schedule, acceptedAt, isLate }, knownStage } = ledger;
    const waitingOf = (number: number): number =>
        knownStage(0, number)?.record.waiting.size ?? steps[number]?.count ?? 0;
    const isWaiting = schedule === undefined && !ledger.isSettled()
        && steps.some((step, number) => !step.isLasting && waitingOf(number) > 0);
    if (!isWaiting) {
        return [];
    }
    const times = steps.map((step, number) => step.isLasting ? 0 : runTime(id, queue, step, number));
    const paths = remainingPaths(steps, (...[, number]) => times[number] ?? 0);
    const objective = queue.slackFactor * Math.max(0, ...paths) + queue.latencyTarget;
    return steps.flatMap((step, number): WaitingWork[] => {
        const tasks = step.isLasting ? 0 : waitingOf(number);
        const spareTime = acceptedAt - now - (paths[number] ?? 0);
        const laxity = spareTime + objective;
        return tasks === 0 ? [] : [{
            pool: poolOf(step),
            urgency: {
                lasting: "no",
                priority: queue.priority,
                laxity: isLate === true ? Math.min(laxity, -1) : laxity,
                expiryLaxity: spareTime + objective * uselessFactor,
            },
            work: tasks * step.cpu * (times[number] ?? 0),
        }];
    });
};
