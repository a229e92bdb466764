import type { BatchWork, PendingTask, Placement } from "@jayfront/policy";
import type { Chunk, Job, TaskId, WorkerId } from "@jayfront/world";
import { parseTaskId } from "@jayfront/world";

import type { CellContext } from "./cell-context.js";
import type { ChunkLedger } from "./chunk-ledger.js";
import type { HeldWorker } from "./held-worker.js";

/** Ledgers and placements of a held cell, shared by the components that run its chunks. */
export interface ChunkRegistry {
    /** Ledgers of the loaded chunks, by `<job>/<chunk number>`. */
    readonly ledgers: Map<string, ChunkLedger>;
    /** Keys of the ledgers whose tasks may be started. */
    readonly activeKeys: Set<string>;
    /** Placements, made by this holder, of tasks that are starting or running. */
    readonly placed: Map<TaskId, Placement>;
    /** Lowest attempt number that this holder assigns. */
    readonly firstAttempt: number;
    /** The ledger of the task's chunk; undefined if it is not loaded. */
    readonly ledgerOf: (task: TaskId) => ChunkLedger | undefined;
    /** The worker whose account holds the task; undefined if there is none. */
    readonly workerOf: (task: TaskId) => HeldWorker | undefined;
    /** Queues a task again unless it has an outcome; if its job was cancelled, settles it as cancelled instead. */
    readonly requeue: (ledger: ChunkLedger, pending: PendingTask) => void;
    /** Releases the task's resources on the worker and forgets its placement. */
    readonly release: (held: HeldWorker, task: TaskId) => void;
    /** The task as pending, with an attempt number above `after`. */
    readonly nextAttempt: (
        ledger: ChunkLedger,
        index: number,
        after: number,
        failedOn: readonly WorkerId[],
    ) => PendingTask;
    /** Tells the worker to stop those of the tasks that its account holds. */
    readonly stopTasks: (held: HeldWorker, tasks: readonly TaskId[]) => Promise<void>;
}

/** Attempt numbers of an epoch start at `epoch * attemptsPerEpoch + 1`, so that they rise from holder to holder. */
export const attemptsPerEpoch = 1_000;

/** Key of a chunk, `<job>/<chunk number>`. */
export const chunkKey = (chunk: Chunk): string => `${chunk.job}/${String(chunk.number)}`;

/** Describes a chunk for the scheduler; its deadline is converted to monotonic time in milliseconds. */
export const createBatchWork = (chunk: Chunk, job: Job): BatchWork => {
    const { team, batchClass, resources, runTime, deadline, payload, payloads } = job.specification;
    const untilDeadline = deadline === undefined ? Infinity : job.acceptedAt + deadline * 1_000 - Date.now();
    return {
        key: chunkKey(chunk),
        job: job.id,
        team,
        batchClass,
        resources,
        runTime,
        deadline: performance.now() + untilDeadline,
        payload,
        payloads,
    };
};

/** Creates a registry without chunks. */
export const createChunkRegistry = ({ epoch, platform, scheduler, workers }: CellContext): ChunkRegistry => {
    const firstAttempt = epoch * attemptsPerEpoch + 1;
    const ledgers = new Map<string, ChunkLedger>();
    const placed = new Map<TaskId, Placement>();
    const ledgerOf = (task: TaskId): ChunkLedger | undefined => {
        const { job, index } = parseTaskId(task);
        for (const ledger of ledgers.values()) {
            const chunk = ledger.chunk();
            if (chunk.job === job && index >= chunk.first && index < chunk.first + chunk.count) {
                return ledger;
            }
        }
        return undefined;
    };
    const workerOf = (task: TaskId): HeldWorker | undefined =>
        [...workers.values()].find(held => held.account.tasks.has(task));
    const requeue = (ledger: ChunkLedger, pending: PendingTask): void => {
        if (ledger.isCancelled()) {
            ledger.settle(pending.index, "cancelled");
            return;
        }
        if (!ledger.hasOutcome(pending.index)) {
            scheduler.requeue(ledger.work.key, pending);
        }
    };
    const release = (held: HeldWorker, task: TaskId): void => {
        scheduler.releaseTask(held.worker.id, task);
        held.confirmedAt.delete(task);
        held.starting.delete(task);
        placed.delete(task);
    };
    const nextAttempt = (
        ledger: ChunkLedger,
        index: number,
        after: number,
        failedOn: readonly WorkerId[],
    ): PendingTask => ({
        ...ledger.pendingTask(index, Math.max(firstAttempt, after + 1)),
        failedOn,
    });
    const stopTasks = async (held: HeldWorker, tasks: readonly TaskId[]): Promise<void> => {
        const attempts = tasks.flatMap(task => {
            const attempt = held.account.tasks.get(task)?.attempt;
            return attempt === undefined ? [] : [{ task, attempt }];
        });
        if (attempts.length > 0) {
            await platform.workers.stop(held.worker, held.fence, attempts);
        }
    };
    return {
        ledgers,
        activeKeys: new Set(),
        placed,
        firstAttempt,
        ledgerOf,
        workerOf,
        requeue,
        release,
        nextAttempt,
        stopTasks,
    };
};
