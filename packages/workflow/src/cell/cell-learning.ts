import type { WorkerHealth } from "@jayfront/policy";
import { createSizeEstimate, createWorkerHealth } from "@jayfront/policy";
import type { WorkerId } from "@jayfront/world";

import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { Queue } from "../model/queue.js";
import type { Step } from "../model/step.js";
import type { TaskName } from "../model/task-name.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import type { RunEnd } from "./run-keeper.js";

/** What a cell's holder learns from the ends of runs. */
export interface CellLearning {
    readonly learn: (end: RunEnd) => void;
    /** Milliseconds that a task of step `number` is expected to run. */
    readonly runTime: (queue: Queue, step: Step, number: number) => number;
    readonly health: WorkerHealth;
    readonly hasFailedOn: (task: TaskName, worker: WorkerId) => boolean;
}

/** Options of {@link createCellLearning}. */
export interface CellLearningOptions {
    readonly metrics: WorkflowMetrics;
    readonly queueOf: (ledger: WorkflowLedger) => Queue;
}

/** Milliseconds of the first quarantine of a worker that fails what it runs; a few run times. */
const quarantine = 2_000;
/** Milliseconds of the longest quarantine; workers recover within some ten seconds or are replaced. */
const quarantineLimit = 8_000;
/** Failures without a success between them that bring a worker into quarantine. */
const failureLimit = 3;
/** Starts a worker may get before it has shown successes; placement bounds them by room. */
const startLimit = 1_000;
/** Milliseconds of work after which the failure of a lasting task does not tell against its worker. */
const earlyFailure = 1_500;

/** Steps whose estimates are off alike. */
const kindOf = (queue: Queue, step: Step, number: number): string =>
    `${queue.name}/${String(number)}/${String(step.isGang)}`;

/** Creates a record of nothing. */
export const createCellLearning = ({ metrics, queueOf }: CellLearningOptions): CellLearning => {
    const runTimes = createSizeEstimate({ quantile: 0.5 });
    const health = createWorkerHealth({ failureLimit, quarantine, quarantineLimit, startLimit });
    const failedOn = new Map<TaskName, Set<WorkerId>>();
    const learn = ({ run, outcome, error }: RunEnd): void => {
        const { step, position, worker, ledger } = run;
        metrics.runEnds.inc({ queue: ledger.workflow.queue.name, outcome: error ?? outcome });
        // Tasks that last never end well, so that only an early failure says something of their worker.
        const isEarly = performance.now() - run.startedAt < earlyFailure;
        if (outcome === "failed" && (!step.isLasting || isEarly)) {
            const tried = failedOn.get(run.task) ?? new Set();
            failedOn.set(run.task, tried.add(worker));
            health.recordEnd(worker, position.job, true);
        }
        if (outcome === "done") {
            failedOn.delete(run.task);
            health.recordEnd(worker, position.job, false);
            const queue = queueOf(ledger);
            if (step.expectedRunTime > 0 && run.checkpoint === "") {
                const ratio = (performance.now() - run.startedAt) / step.expectedRunTime;
                runTimes.record(kindOf(queue, step, position.step), queue.name, ratio);
            }
        }
    };
    return {
        learn,
        // Estimates are off by a factor that a queue's submitters share; it is learned as a ratio.
        runTime: (queue, step, number) =>
            step.expectedRunTime * runTimes.predict(kindOf(queue, step, number), queue.name, 1),
        health,
        hasFailedOn: (task, worker) => failedOn.get(task)?.has(worker) === true,
    };
};
