import type { EndedTask, RunningTask, TaskId, WorkerId } from "@jayfront/world";
import { hasIndex, parseTaskId } from "@jayfront/world";
import { match } from "ts-pattern";

import type { CellContext } from "./cell-context.js";
import type { ChunkLedger } from "./chunk-ledger.js";
import type { ChunkRegistry } from "./chunk-registry.js";
import type { HeldWorker } from "./held-worker.js";

/** Takes in what workers say of running and ended tasks. */
export interface TaskReconciler {
    readonly onEnded: (held: HeldWorker, ended: readonly EndedTask[]) => void;
    readonly onRunning: (held: HeldWorker, running: readonly RunningTask[], sentAt: number) => void;
    /** The worker forgot or lost all that it ran. */
    readonly onWorkerLost: (held: HeldWorker) => void;
    /** Takes in the ends that came before the chunks were read. */
    readonly onLoaded: () => void;
}

/** Options of {@link createTaskReconciler}. */
export interface TaskReconcilerOptions {
    readonly context: CellContext;
    readonly registry: ChunkRegistry;
    /** Whether all chunks of the cell were read. */
    readonly isLoaded: () => boolean;
    /** Asks for a write soon. */
    readonly requestWrite: () => void;
}

/** Failures on any workers, for each attempt of the limit, after which a task is given up. */
const failuresPerAttempt = 3;

/** Creates the intake of a cell. */
export const createTaskReconciler = (
    { context, registry: book, isLoaded, requestWrite }: TaskReconcilerOptions,
): TaskReconciler => {
    const { scheduler, metrics, logger } = context;
    const {
        activeKeys: active,
        firstAttempt,
        ledgerOf,
        nextAttempt,
        placed,
        requeue: putBack,
        release,
        stopTasks,
        workerOf: workerRunning,
    } = book;
    /** Ends that came before the chunks were read. */
    const unread = new Map<HeldWorker, readonly EndedTask[]>();

    const handleFailure = (ledger: ChunkLedger, ended: EndedTask, failedOn: readonly WorkerId[]): void => {
        const { index } = parseTaskId(ended.task);
        const limit = context.document().batchClasses[ledger.work.batchClass]?.attempts ?? 1;
        if (ended.outcome === "out-of-memory") {
            scheduler.recordOutOfMemory(ledger.work, ended.peakMemory);
        }
        // One worker that fails everything must not use a task's attempts up.
        const isTried = new Set(failedOn).size >= limit || failedOn.length >= limit * failuresPerAttempt;
        const isFinal = !ledger.job.specification.idempotent || isTried || scheduler.health.isPoison(ledger.job.id);
        if (isFinal) {
            ledger.settle(index, "failed");
        }
        else {
            putBack(ledger, nextAttempt(ledger, index, ended.attempt, failedOn));
        }
    };
    const handleCheckpoint = (ledger: ChunkLedger, ended: EndedTask): void => {
        const { index } = parseTaskId(ended.task);
        const known = ledger.chunk().evicted[index];
        if (ended.checkpoint !== undefined && ended.attempt > (known?.attempt ?? 0)) {
            const evictions = (known?.evictions ?? 0) + 1;
            ledger.recordEviction(index, { attempt: ended.attempt, checkpoint: ended.checkpoint, evictions });
            putBack(ledger, ledger.pendingTask(index, firstAttempt));
        }
    };
    const handleStopped = (ledger: ChunkLedger, ended: EndedTask): void => {
        const { index } = parseTaskId(ended.task);
        if (ledger.isCancelled()) {
            ledger.settle(index, "cancelled");
        }
        else if (ledger.job.specification.idempotent) {
            putBack(ledger, nextAttempt(ledger, index, ended.attempt, []));
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
                scheduler.recordMemory(ledger.work, ended.peakMemory);
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
    const recordEnd = (held: HeldWorker, ledger: ChunkLedger, ended: EndedTask): void => {
        const { team, batchClass } = ledger.work;
        metrics.taskRunSeconds.observe({ team, class: batchClass, outcome: ended.outcome }, ended.runTime / 1_000);
        if (ended.outcome === "finished" || ended.outcome === "failed") {
            scheduler.health.recordEnd(held.worker.id, ledger.job.id, ended.outcome === "failed");
        }
    };
    /** Whether this end says something new: its attempt is the one that was last known to run. */
    const isNews = (held: HeldWorker, ledger: ChunkLedger, ended: EndedTask): boolean => {
        const { index } = parseTaskId(ended.task);
        if (ledger.hasOutcome(index)) {
            return false;
        }
        const runner = workerRunning(ended.task);
        if (runner !== undefined) {
            return runner === held && (runner.account.tasks.get(ended.task)?.attempt ?? 0) <= ended.attempt;
        }
        // Nobody runs it: an end of before this holder's time, which counts while the task waits to be activated.
        return !active.has(ledger.work.key) || hasIndex(ledger.chunk().inDoubt, index);
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
        if (isNews(held, ledger, ended)) {
            const failedOn = [...placed.get(ended.task)?.pending.failedOn ?? [], held.worker.id];
            release(held, ended.task);
            recordEnd(held, ledger, ended);
            applyEnd(ledger, ended, failedOn);
        }
        ledger.acknowledgeAfterWrite({ worker: held.worker.id, attempt });
        if (ledger.isSettled()) {
            requestWrite();
        }
    };
    const handleLost = (held: HeldWorker, task: TaskId): void => {
        const attempt = held.account.tasks.get(task)?.attempt ?? 0;
        const failedOn = placed.get(task)?.pending.failedOn ?? [];
        release(held, task);
        const ledger = ledgerOf(task);
        if (ledger === undefined) {
            return;
        }
        const { index } = parseTaskId(task);
        logger.warn({ task, attempt, worker: held.worker.id }, "a task was lost with its worker");
        if (ledger.job.specification.idempotent) {
            putBack(ledger, nextAttempt(ledger, index, attempt, failedOn));
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
            const shown = new Set(running.map(task => task.task));
            for (const task of running) {
                held.starting.delete(task.task);
                if (!held.account.tasks.has(task.task)) {
                    adoptRunning(held, task);
                }
            }
            for (const [task, confirmedAt] of [...held.confirmedAt]) {
                if (!shown.has(task) && confirmedAt < sentAt) {
                    handleLost(held, task);
                }
            }
            if (isLoaded()) {
                const orphaned = running.map(task => task.task).filter(task => ledgerOf(task)?.isCancelled() ?? true);
                void stopTasks(held, orphaned);
            }
        },
        onEnded: (held, ended) => {
            if (!isLoaded()) {
                unread.set(held, [...unread.get(held) ?? [], ...ended]);
            }
            for (const entry of ended) {
                handleEnd(held, entry);
            }
        },
        onWorkerLost: held => {
            for (const task of [...held.account.tasks.keys()]) {
                handleLost(held, task);
            }
        },
        onLoaded: () => {
            for (const [held, ended] of unread) {
                for (const entry of ended) {
                    handleEnd(held, entry);
                }
            }
            unread.clear();
        },
    };
};
