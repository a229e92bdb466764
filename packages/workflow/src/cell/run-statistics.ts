import type { WorkerHealth } from "@jayfront/policy";
import { createWorkerHealth } from "@jayfront/policy";
import type { JobId, WorkerId } from "@jayfront/world";

import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { Queue } from "../model/queue.js";
import type { Step } from "../model/step.js";
import type { TaskName } from "../model/task-name.js";
import type { RunTimeSubject } from "../policy/run-time-estimate.js";
import { createRunTimeEstimate } from "../policy/run-time-estimate.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import type { RunEnd } from "./run-keeper.js";

/** See {@link RunStatistics.runTime}. */
export type RunTimePredictor = (job: JobId, queue: Queue, step: Step, number: number) => number;

/** What a cell's holder learns from the ends of runs. */
export interface RunStatistics {
    readonly recordEnd: (end: RunEnd) => void;
    /** Milliseconds that a task of step `number` of the workflow is expected to run. */
    readonly runTime: RunTimePredictor;
    readonly health: WorkerHealth;
    readonly hasFailedOn: (task: TaskName, worker: WorkerId) => boolean;
}

/** Options of {@link createRunStatistics}. */
export interface RunStatisticsOptions {
    readonly metrics: WorkflowMetrics;
    readonly queueOf: (ledger: WorkflowLedger) => Queue;
}

/** Milliseconds of the first quarantine of a worker that fails what it runs; a few run times. */
const quarantine = 2_000;
/** Milliseconds of the longest quarantine; workers recover within some ten seconds or are replaced. */
const quarantineLimit = 8_000;
/** Failures without a success between them that bring a worker into quarantine. */
const failureLimit = 3;
/** Failures in a row from which a worker is suspected; one in twenty tasks fails by itself. */
const suspectLimit = 2;
/** Starts a worker may get before it has shown successes; placement bounds them by room. */
const startLimit = 1_000;
/** Milliseconds of work after which the failure of a lasting task does not tell against its worker. */
const earlyFailure = 1_500;

/** Steps whose estimates are off alike. */
const kindOf = (queue: Queue, step: Step, number: number): string =>
    `${queue.name}/${String(number)}/${String(step.isGang)}`;

/** Creates a record of nothing. */
export const createRunStatistics = ({ metrics, queueOf }: RunStatisticsOptions): RunStatistics => {
    const runTimes = createRunTimeEstimate();
    const subjectOf = (job: JobId, queue: Queue, step: Step, number: number): RunTimeSubject => ({
        kind: kindOf(queue, step, number),
        stage: `${job}.${String(number)}`,
        declared: step.expectedRunTime,
    });
    const health = createWorkerHealth({ failureLimit, suspectLimit, quarantine, quarantineLimit, startLimit });
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
            // A run that was slowed, or went on from a checkpoint, does not show what a whole one takes.
            if (run.checkpoint === "" && !run.wasSlowed) {
                runTimes.record(subjectOf(position.job, queue, step, position.step), performance.now() - run.startedAt);
            }
        }
    };
    return {
        recordEnd: learn,
        runTime: (job, queue, step, number) => runTimes.predict(subjectOf(job, queue, step, number)),
        health,
        hasFailedOn: (task, worker) => failedOn.get(task)?.has(worker) === true,
    };
};
