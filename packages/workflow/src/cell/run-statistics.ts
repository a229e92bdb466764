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
import type { RunEnd } from "./run-controller.js";
import type { Run } from "./run.js";

/** Predicts the run time of one task of a step, in milliseconds; see {@link RunStatistics.runTime}. */
export type RunTimePredictor = (job: JobId, queue: Queue, step: Step, number: number) => number;

/** Run times, worker health and failed placements, as a cell's holder derives them from the ends of runs. */
export interface RunStatistics {
    /** Counts the end of a run in the metrics and takes it into the statistics. */
    readonly recordEnd: (end: RunEnd) => void;
    /** Milliseconds that one task of `step` is expected to run; `number` is the index of the step in the workflow. */
    readonly runTime: RunTimePredictor;
    /**
     * Milliseconds that the run's task is expected to take on a normal worker, and the standard deviation of the
     * logarithm of that; undefined while too little is known of its kind.
     */
    readonly expectationOf: (run: Run) => RunTimeExpectation | undefined;
    readonly health: WorkerHealth;
    /** Whether the task has failed on the worker since it last completed. */
    readonly hasFailedOn: (task: TaskName, worker: WorkerId) => boolean;
    /** Forgets the failures of a workflow that has ended. */
    readonly forgetWorkflow: (job: JobId) => void;
}

/** See {@link RunStatistics.expectationOf}. */
export interface RunTimeExpectation {
    readonly time: number;
    readonly spread: number;
}

/** Options of {@link createRunStatistics}. */
export interface RunStatisticsOptions {
    readonly metrics: WorkflowMetrics;
    /** The queue of a workflow, with its settings as configured now. */
    readonly queueOf: (ledger: WorkflowLedger) => Queue;
    /** See `NearWaits.factorOf`; run times are recorded without it. Default: 1. */
    readonly factorOf?: (run: Run) => number;
    /** See `WorkerSpeeds.speedOf`; run times are recorded as they would have been at normal speed. */
    readonly speedOf: (worker: WorkerId) => number;
}

/** Milliseconds of a worker's first quarantine; a few typical run times. */
const quarantine = 2_000;
/** Milliseconds of the longest quarantine; a faulty worker recovers or is replaced within about ten seconds. */
const quarantineLimit = 8_000;
/** Consecutive failures after which a worker is quarantined. */
const failureLimit = 3;
/** Consecutive failures after which a worker is suspect; above 1, since one in twenty tasks fails on a sound worker. */
const suspectLimit = 2;
/** Starts that a worker may get before its first success; so high that only its free resources limit them. */
const startLimit = 1_000;
/** Milliseconds of run time from which on the failure of a long-running task is not counted against its worker. */
const earlyFailureLimit = 1_500;

/** Key of steps whose declared run times are assumed to be off by the same factor. */
const kindOf = (queue: Queue, step: Step, number: number): string =>
    `${queue.name}/${String(number)}/${String(step.isGang)}`;

/** Creates statistics without any recorded run. */
export const createRunStatistics = (
    { metrics, queueOf, factorOf = () => 1, speedOf }: RunStatisticsOptions,
): RunStatistics => {
    const runTimes = createRunTimeEstimate();
    /** Subjects by step, with what they were created of; each search for a worker looks up that of its step many times. */
    const subjects = new WeakMap<Step, {
        readonly job: JobId;
        readonly queueName: string;
        readonly number: number;
        readonly subject: RunTimeSubject;
    }>();
    const subjectOf = (job: JobId, queue: Queue, step: Step, number: number): RunTimeSubject => {
        const known = subjects.get(step);
        if (known?.job === job && known.queueName === queue.name && known.number === number) {
            return known.subject;
        }
        const subject = {
            kind: kindOf(queue, step, number),
            stepKey: `${job}.${String(number)}`,
            declared: step.expectedRunTime,
        };
        subjects.set(step, { job, queueName: queue.name, number, subject });
        return subject;
    };
    const health = createWorkerHealth({
        failureLimit,
        suspectLimit,
        firstQuarantine: quarantine,
        longestQuarantine: quarantineLimit,
        initialStartLimit: startLimit,
    });
    // By task, since each search for a worker asks of many workers.
    const failedOn = new Map<TaskName, Set<WorkerId>>();
    const failedTasks = new Map<JobId, Set<TaskName>>();
    const recordEnd = ({ run, outcome, error }: RunEnd): void => {
        const { step, position, worker, ledger } = run;
        metrics.runEnds.inc({ queue: ledger.workflow.queue.name, outcome: error ?? outcome });
        // Long-running tasks run until they are stopped or fail, so only an early failure points to a faulty worker.
        const isEarly = performance.now() - run.startedAt < earlyFailureLimit;
        if (outcome === "failed" && (!step.isLasting || isEarly)) {
            const workers = failedOn.get(run.task) ?? new Set();
            failedOn.set(run.task, workers.add(worker));
            failedTasks.set(position.job, (failedTasks.get(position.job) ?? new Set()).add(run.task));
            health.recordEnd(worker, position.job, true);
        }
        if (outcome === "done") {
            failedOn.delete(run.task);
            failedTasks.get(position.job)?.delete(run.task);
            health.recordEnd(worker, position.job, false);
            const queue = queueOf(ledger);
            if (run.hasFullRunTime) {
                const runTime = (performance.now() - run.startedAt) * speedOf(worker) / factorOf(run);
                runTimes.record(subjectOf(position.job, queue, step, position.step), runTime);
            }
        }
    };
    return {
        recordEnd,
        runTime: (job, queue, step, number) => runTimes.predict(subjectOf(job, queue, step, number)),
        expectationOf: ({ ledger, step, position }) => {
            const subject = subjectOf(position.job, queueOf(ledger), step, position.step);
            const spread = runTimes.spread(subject);
            return spread === undefined ? undefined : { time: runTimes.predict(subject), spread };
        },
        health,
        hasFailedOn: (task, worker) => failedOn.get(task)?.has(worker) === true,
        forgetWorkflow: job => {
            failedTasks.get(job)?.forEach(task => failedOn.delete(task));
            failedTasks.delete(job);
            health.removeJob(job);
        },
    };
};
