import type { EndedTask, RunningTask, TaskId, WorkerId } from "@jayfront/world";
import { hasIndex, parseTaskId } from "@jayfront/world";
import { match } from "ts-pattern";

import type { CellContext } from "./cell-context.js";
import type { ChunkLedger } from "./chunk-ledger.js";
import type { ChunkRegistry } from "./chunk-registry.js";
import type { HeldWorker } from "./held-worker.js";

/** Reconciles the state of a cell's tasks with what the workers report as running and ended. */
export interface TaskReconciler {
    /** Handles the attempts that a worker reports as ended. */
    readonly onEnded: (held: HeldWorker, ended: readonly EndedTask[]) => void;
    /** Handles the tasks that a worker reports as running, in answer to a call sent at `sentAt`. */
    readonly onRunning: (held: HeldWorker, running: readonly RunningTask[], sentAt: number) => void;
    /** Handles the loss of all tasks of a worker that has restarted or is gone. */
    readonly onWorkerLost: (held: HeldWorker) => void;
    /** Handles the ends that were reported before the chunks were loaded. */
    readonly onLoaded: () => void;
}

/** Options of {@link createTaskReconciler}. */
export interface TaskReconcilerOptions {
    readonly context: CellContext;
    readonly registry: ChunkRegistry;
    /** Whether all chunks of the cell are loaded. */
    readonly isLoaded: () => boolean;
    /** Requests a write without waiting for the next interval. */
    readonly requestWrite: () => void;
}

/** Factor on the class's limit of attempts: failures, on any workers, after which a task fails for good. */
const maxFailuresPerAttempt = 3;

/** Creates the reconciler of a held cell. */
export const createTaskReconciler = (
    { context, registry, isLoaded, requestWrite }: TaskReconcilerOptions,
): TaskReconciler => {
    const { scheduler, metrics, logger } = context;
    const {
        activeKeys,
        firstAttempt,
        ledgerOf,
        nextAttempt,
        placed,
        requeue,
        release,
        stopTasks,
        workerOf,
    } = registry;
    /** Ends that were reported before the chunks were loaded. */
    const endsBeforeLoad = new Map<HeldWorker, readonly EndedTask[]>();

    const handleFailure = (ledger: ChunkLedger, ended: EndedTask, failedOn: readonly WorkerId[]): void => {
        const { index } = parseTaskId(ended.task);
        const limit = context.document().batchClasses[ledger.work.batchClass]?.attempts ?? 1;
        if (ended.outcome === "out-of-memory") {
            scheduler.recordOutOfMemory(ledger.work, ended.peakMemory);
        }
        // Failures count by worker, so that a single faulty worker doesn't use up a task's attempts.
        const isExhausted = new Set(failedOn).size >= limit || failedOn.length >= limit * maxFailuresPerAttempt;
        const isFinal = !ledger.job.specification.idempotent || isExhausted || scheduler.health.isPoison(ledger.job.id);
        if (isFinal) {
            ledger.settle(index, "failed");
        }
        else {
            requeue(ledger, nextAttempt(ledger, index, ended.attempt, failedOn));
        }
    };
    const handleCheckpoint = (ledger: ChunkLedger, ended: EndedTask): void => {
        const { index } = parseTaskId(ended.task);
        const evicted = ledger.chunk().evicted[index];
        if (ended.checkpoint !== undefined && ended.attempt > (evicted?.attempt ?? 0)) {
            const evictions = (evicted?.evictions ?? 0) + 1;
            ledger.recordEviction(index, { attempt: ended.attempt, checkpoint: ended.checkpoint, evictions });
            requeue(ledger, ledger.pendingTask(index, firstAttempt));
        }
    };
    const handleStopped = (ledger: ChunkLedger, ended: EndedTask): void => {
        const { index } = parseTaskId(ended.task);
        if (ledger.isCancelled()) {
            ledger.settle(index, "cancelled");
        }
        else if (ledger.job.specification.idempotent) {
            requeue(ledger, nextAttempt(ledger, index, ended.attempt, []));
        }
        else {
            ledger.settle(index, "failed");
        }
    };
    const applyEnd = (ledger: ChunkLedger, ended: EndedTask, failedOn: readonly WorkerId[]): void => {
        const { index } = parseTaskId(ended.task);
        match(ended.outcome)
            .with("finished", () => {
                scheduler.recordRunTime(ledger.work, ended.runTime / 1_000);
                scheduler.recordPeakMemory(ledger.work, ended.peakMemory);
                ledger.settle(index, "finished");
            })
            .with("failed", "out-of-memory", () => {
                handleFailure(ledger, ended, failedOn);
            })
            .with("checkpointed", () => {
                handleCheckpoint(ledger, ended);
            })
            .with("stopped", () => {
                handleStopped(ledger, ended);
            })
            .exhaustive();
    };
    /** Records the attempt in the metrics and in the worker's health. */
    const observeEnd = (held: HeldWorker, ledger: ChunkLedger, ended: EndedTask): void => {
        const { team, batchClass } = ledger.work;
        metrics.taskRunSeconds.observe({ team, class: batchClass, outcome: ended.outcome }, ended.runTime / 1_000);
        if (ended.outcome === "finished" || ended.outcome === "failed") {
            scheduler.health.recordEnd(held.worker.id, ledger.job.id, ended.outcome === "failed");
        }
    };
    /** Whether this end is not yet recorded and belongs to the attempt that was last seen to run. */
    const isNewEnd = (held: HeldWorker, ledger: ChunkLedger, ended: EndedTask): boolean => {
        const { index } = parseTaskId(ended.task);
        if (ledger.hasOutcome(index)) {
            return false;
        }
        const runningOn = workerOf(ended.task);
        if (runningOn !== undefined) {
            return runningOn === held && (runningOn.account.tasks.get(ended.task)?.attempt ?? 0) <= ended.attempt;
        }
        // No worker runs the task. An end from before this epoch counts only while the chunk is not active or the task
        // is in doubt.
        return !activeKeys.has(ledger.work.key) || hasIndex(ledger.chunk().inDoubt, index);
    };
    const handleEnd = (held: HeldWorker, ended: EndedTask): void => {
        const attempt = { task: ended.task, attempt: ended.attempt };
        const ledger = ledgerOf(ended.task);
        if (ledger === undefined) {
            if (isLoaded()) {
                release(held, ended.task);
                held.acknowledged.push(attempt);
            }
            return;
        }
        if (isNewEnd(held, ledger, ended)) {
            const failedOn = [...placed.get(ended.task)?.pending.failedOn ?? [], held.worker.id];
            release(held, ended.task);
            observeEnd(held, ledger, ended);
            applyEnd(ledger, ended, failedOn);
        }
        ledger.acknowledgeAfterWrite({ worker: held.worker.id, attempt });
        if (ledger.isSettled()) {
            requestWrite();
        }
    };
    const handleLostTask = (held: HeldWorker, task: TaskId): void => {
        const attempt = held.account.tasks.get(task)?.attempt ?? 0;
        const failedOn = placed.get(task)?.pending.failedOn ?? [];
        release(held, task);
        const ledger = ledgerOf(task);
        if (ledger === undefined) {
            return;
        }
        const { index } = parseTaskId(task);
        logger.warn(
            { task, attempt, worker: held.worker.id },
            "task lost: its worker restarted, is gone or no longer reports it",
        );
        if (ledger.job.specification.idempotent) {
            requeue(ledger, nextAttempt(ledger, index, attempt, failedOn));
        }
        else {
            ledger.settle(index, "inDoubt");
        }
    };
    const adoptRunning = (held: HeldWorker, running: RunningTask): void => {
        scheduler.adoptTask(held.worker.id, {
            task: running.task,
            attempt: running.attempt,
            team: running.team,
            batchClass: running.batchClass,
            resources: running.resources,
            startedAt: performance.now() - running.age,
            level: running.level,
        });
        held.confirmedAt.set(running.task, performance.now());
    };
    return {
        onRunning: (held, running, sentAt) => {
            const reported = new Set(running.map(task => task.task));
            for (const task of running) {
                held.starting.delete(task.task);
                if (!held.account.tasks.has(task.task)) {
                    adoptRunning(held, task);
                }
            }
            for (const [task, confirmedAt] of [...held.confirmedAt]) {
                if (!reported.has(task) && confirmedAt < sentAt) {
                    handleLostTask(held, task);
                }
            }
            if (isLoaded()) {
                const orphaned = running.map(task => task.task).filter(task => ledgerOf(task)?.isCancelled() ?? true);
                void stopTasks(held, orphaned);
            }
        },
        onEnded: (held, ended) => {
            if (!isLoaded()) {
                endsBeforeLoad.set(held, [...endsBeforeLoad.get(held) ?? [], ...ended]);
            }
            for (const entry of ended) {
                handleEnd(held, entry);
            }
        },
        onWorkerLost: held => {
            for (const task of [...held.account.tasks.keys()]) {
                handleLostTask(held, task);
            }
        },
        onLoaded: () => {
            for (const [held, ended] of endsBeforeLoad) {
                for (const entry of ended) {
                    handleEnd(held, entry);
                }
            }
            endsBeforeLoad.clear();
        },
    };
};
