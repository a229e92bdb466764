import type { JobId } from "@jayfront/world";
import type { Logger } from "pino";

import { crashLimit } from "../ledger/crash-limit.js";
import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { TaskName } from "../model/task-name.js";
import type { ProgressWriter } from "./progress-writer.js";
import type { SuspectRun } from "./worker-crashes.js";

/** Counts the crashes of workers under tasks, and gives up tasks that crash worker after worker. */
export interface TaskCrashes {
    /** Records a crash under a run. The count is stored before the task can start again. */
    readonly record: (suspect: SuspectRun) => void;
    /** Whether this cell starts the task no more. Only for tasks of other cells' workflows, which it can't let fail. */
    readonly isGivenUp: (task: TaskName) => boolean;
}

/** Options of {@link createTaskCrashes}. */
export interface TaskCrashesOptions {
    /** Whether the ledger is that of a workflow of this cell. */
    readonly isOwn: (ledger: WorkflowLedger) => boolean;
    readonly writer: Pick<ProgressWriter, "request">;
    readonly stopWorkflow: (job: JobId, reason: string) => void;
    readonly logger: Logger;
}

/** Creates a record without crashes. */
export const createTaskCrashes = ({ isOwn, writer, stopWorkflow, logger }: TaskCrashesOptions): TaskCrashes => {
    /** Weights of the crashes under tasks of other cells' workflows. */
    const foreignWeights = new Map<TaskName, number>();
    return {
        record: ({ run: { task, position, number, worker, ledger }, weight }) => {
            const { job } = position;
            const isOwnLedger = isOwn(ledger);
            if (isOwnLedger) {
                ledger.recordCrash(position, number, weight);
                writer.request(ledger);
            }
            else {
                foreignWeights.set(task, (foreignWeights.get(task) ?? 0) + weight);
            }
            const total = isOwnLedger ? ledger.crashWeight(position) : foreignWeights.get(task);
            logger.warn(
                { job, task, run: number, worker, weight, total, limit: crashLimit, state: ledger.latestState() },
                "worker crashed just after the start of a task",
            );
            if (isOwnLedger && ledger.isSettled()) {
                stopWorkflow(job, "a task crashes the workers that start it");
            }
        },
        isGivenUp: task => (foreignWeights.get(task) ?? 0) >= crashLimit,
    };
};
