import type { TableRow } from "@jayfront/platform";
import type { Chunk, EndedTask, Job, JobId, RunningTask, TaskId } from "@jayfront/world";
import { hasIndex, parseTaskId, taskId } from "@jayfront/world";
import { match } from "ts-pattern";

import type { CellContext } from "./cell-context.js";
import type { CellOrder } from "./cell-store.js";
import { readChunks, readOrders, tableKeys } from "./cell-store.js";
import type { ChunkLedger } from "./chunk-ledger.js";
import { createChunkLedger } from "./chunk-ledger.js";
import { attemptsPerEpoch, chunkKey, createBatchWork, createChunkRegistry } from "./chunk-registry.js";
import type { HeldWorker } from "./held-worker.js";
import { createTaskReconciler } from "./task-reconciler.js";
import { createTaskStarter } from "./task-starter.js";

/** Runs the chunks of a held cell: starts tasks, records their ends, applies orders and collects the next write. */
export interface ChunkRunner {
    /** Reads chunks and orders from the store; false if that fails or the first load is still incomplete. */
    readonly load: () => Promise<boolean>;
    /** Makes the tasks of loaded chunks startable; does nothing until all chunks are loaded and `mayStart` holds. */
    readonly activate: () => void;
    /** Whether all chunks are loaded and startable; the roster of earlier holders is not needed any more then. */
    readonly isActivated: () => boolean;
    /** Places and starts the tasks that can start now. */
    readonly startTasks: () => void;
    /** Handles the tasks that a worker reports as running, in answer to a call sent at `sentAt`. */
    readonly onRunning: (held: HeldWorker, running: readonly RunningTask[], sentAt: number) => void;
    /** Handles the attempts that a worker reports as ended. */
    readonly onEnded: (held: HeldWorker, ended: readonly EndedTask[]) => void;
    /** Handles the loss of all tasks of a worker that has restarted or is gone. */
    readonly onWorkerLost: (held: HeldWorker) => void;
    /** Resolves starts of unknown outcome after an adoption; the inventory must have been handled before. */
    readonly onAdopted: (held: HeldWorker) => void;
    /** Ledgers that the next write must include. */
    readonly dirtyLedgers: () => readonly ChunkLedger[];
    /** Orders that have been applied, to be deleted by the next write. */
    readonly appliedOrders: () => readonly TableRow<CellOrder>[];
    /** Drops the orders that a write has deleted, and the settled chunks that it has written. */
    readonly onWritten: (ledgers: readonly ChunkLedger[], orders: readonly TableRow<CellOrder>[]) => void;
    /** How often the task has been evicted. */
    readonly evictionsOf: (task: TaskId) => number;
    /** Laxity of the task's job in milliseconds; Infinity if the task's chunk is not loaded. */
    readonly laxityOf: (task: TaskId) => number;
    /** Describes the state of the job's chunks in this cell, one line for each. */
    readonly explain: (job: JobId) => readonly string[];
}

/** Options of {@link createChunkRunner}. */
export interface ChunkRunnerOptions {
    readonly context: CellContext;
    /** Whether every worker of the roster has accepted a fence of this epoch or is proven gone. */
    readonly mayStart: () => boolean;
    /** Whether a worker of the roster has restarted or is proven gone, so that ends of its tasks may stay unknown. */
    readonly hasLostTaskHistory: () => boolean;
    /** Requests a write without waiting for the next interval. */
    readonly requestWrite: () => void;
}

/** Creates a runner without chunks. */
export const createChunkRunner = (options: ChunkRunnerOptions): ChunkRunner => {
    const { context, mayStart, hasLostTaskHistory, requestWrite } = options;
    const { cell, platform, scheduler, workers, timing } = context;
    const registry = createChunkRegistry(context);
    const {
        activeKeys,
        firstAttempt,
        ledgerOf,
        ledgers,
        requeue,
        stopTasks,
        workerOf,
    } = registry;
    const jobs = new Map<JobId, Job>();
    const orders = new Map<string, TableRow<CellOrder>>();
    const readySince = new Map<string, number>();
    let isLoaded = false;
    const reconciler = createTaskReconciler({ context, registry, requestWrite, isLoaded: () => isLoaded });
    const starter = createTaskStarter({ context, registry, requestWrite, readySince });

    const loadJob = async (job: JobId): Promise<Job | undefined> => {
        const cached = jobs.get(job);
        if (cached !== undefined) {
            return cached;
        }
        const row = await platform.table.get<Job>(tableKeys.job(job));
        const loaded = row.isOk ? row.value?.value : undefined;
        if (loaded !== undefined) {
            jobs.set(job, loaded);
        }
        return loaded;
    };
    const openChunk = async (row: TableRow<Chunk>): Promise<boolean> => {
        const key = chunkKey(row.value);
        if (ledgers.has(key)) {
            return true;
        }
        const job = await loadJob(row.value.job);
        if (job === undefined) {
            return false;
        }
        if (!ledgers.has(key)) {
            ledgers.set(key, createChunkLedger(row.value, row.version, job, createBatchWork(row.value, job)));
        }
        return true;
    };
    const cancelJob = (job: JobId): void => {
        for (const ledger of ledgers.values()) {
            if (ledger.job.id !== job) {
                continue;
            }
            ledger.cancel();
            // The waiting tasks of a chunk that is not active yet are settled when it is activated.
            for (const index of scheduler.removeWork(ledger.work.key)) {
                ledger.settle(index, "cancelled");
            }
        }
        for (const held of workers.values()) {
            const tasks = [...held.account.tasks.keys()].filter(task => parseTaskId(task).job === job);
            void stopTasks(held, tasks);
        }
        requestWrite();
    };
    const resolveTask = (order: Extract<CellOrder, { kind: "resolve"; }>): void => {
        const ledger = ledgerOf(taskId(order.job, order.index));
        if (ledger === undefined || !hasIndex(ledger.chunk().inDoubt, order.index)) {
            return;
        }
        if (order.as === "run-again") {
            ledger.clearDoubt(order.index);
            requeue(ledger, ledger.pendingTask(order.index, firstAttempt + attemptsPerEpoch / 2));
        }
        else {
            ledger.settle(order.index, order.as);
        }
        requestWrite();
    };
    const applyOrder = (row: TableRow<CellOrder>): void => {
        if (orders.has(row.key)) {
            return;
        }
        orders.set(row.key, row);
        match(row.value)
            .with({ kind: "cancel" }, order => {
                cancelJob(order.job);
            })
            .with({ kind: "resolve" }, order => {
                resolveTask(order);
            })
            .exhaustive();
    };
    /**
     * Whether an open task that no worker runs may have been started before and its end may be lost: its job is not
     * idempotent, the intent covers it, no checkpoint of it is recorded, and a worker has lost its task history.
     */
    const isDoubtful = (ledger: ChunkLedger, index: number): boolean =>
        !ledger.job.specification.idempotent
        && index < ledger.chunk().intentUpTo
        && ledger.chunk().evicted[index] === undefined
        && hasLostTaskHistory();
    const activateLedger = (ledger: ChunkLedger): void => {
        activeKeys.add(ledger.work.key);
        readySince.set(ledger.work.key, performance.now());
        const open = ledger.openIndices()
            .filter(index => workerOf(taskId(ledger.job.id, index)) === undefined);
        const doubtful = open.filter(index => isDoubtful(ledger, index));
        doubtful.forEach(index => {
            ledger.settle(index, "inDoubt");
        });
        const startable = open.filter(index => !doubtful.includes(index));
        if (ledger.isCancelled()) {
            startable.forEach(index => {
                ledger.settle(index, "cancelled");
            });
            return;
        }
        scheduler.addWork(ledger.work, startable.map(index => ledger.pendingTask(index, firstAttempt)));
    };

    return {
        load: async () => {
            const [chunks, orderRows] = await Promise.all([
                readChunks(platform.table, cell),
                readOrders(platform.table, cell),
            ]);
            if (chunks.isErr || orderRows.isErr) {
                return false;
            }
            const opened = await Promise.all(chunks.value.map(openChunk));
            isLoaded ||= opened.every(Boolean);
            if (isLoaded) {
                reconciler.onLoaded();
                orderRows.value.forEach(applyOrder);
            }
            return isLoaded;
        },
        activate: () => {
            if (!isLoaded || !mayStart()) {
                return;
            }
            for (const [key, ledger] of ledgers) {
                if (!activeKeys.has(key)) {
                    activateLedger(ledger);
                }
            }
        },
        isActivated: () => isLoaded && ledgers.size === activeKeys.size,
        startTasks: () => {
            if (isLoaded && mayStart()) {
                starter.startTasks();
            }
        },
        onRunning: reconciler.onRunning,
        onEnded: reconciler.onEnded,
        onWorkerLost: reconciler.onWorkerLost,
        onAdopted: starter.onAdopted,
        dirtyLedgers: () => [...ledgers.values()].filter(ledger => ledger.isDirty()),
        appliedOrders: () => [...orders.values()],
        onWritten: (written, deleted) => {
            for (const ledger of written) {
                if (ledger.isSettled() && !ledger.isDirty()) {
                    ledgers.delete(ledger.work.key);
                    activeKeys.delete(ledger.work.key);
                    readySince.delete(ledger.work.key);
                    scheduler.removeWork(ledger.work.key);
                }
            }
            for (const order of deleted) {
                orders.delete(order.key);
            }
        },
        evictionsOf: task => ledgerOf(task)?.chunk().evicted[parseTaskId(task).index]?.evictions ?? 0,
        laxityOf: task => {
            const ledger = ledgerOf(task);
            return ledger === undefined ? Infinity : scheduler.laxity(ledger.work);
        },
        explain: job =>
            [...ledgers.values()].filter(ledger => ledger.job.id === job).map(ledger => {
                const key = ledger.work.key;
                const state = activeKeys.has(key)
                    ? "active"
                    : "waits until every worker of the roster obeys this holder";
                const laxitySeconds = Math.round(scheduler.laxity(ledger.work) / 1_000);
                return `chunk ${key} in ${cell}: ${state}; ${String(scheduler.pendingCountOf(key))} tasks wait, `
                    + `laxity ${Number.isFinite(laxitySeconds) ? String(laxitySeconds) + " s" : "without deadline"}, `
                    + `renewal every ${String(timing.renewal)} ms`;
            }),
    };
};
