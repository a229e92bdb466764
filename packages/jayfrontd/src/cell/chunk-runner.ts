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

/** Runs the chunks of a held cell: starts, ends, orders and what the next write must hold. */
export interface ChunkRunner {
    /** Reads chunks and orders from the store; true where the reads came through. */
    readonly load: () => Promise<boolean>;
    /** Makes loaded chunks startable. Must be called only once every worker of the roster is fenced. */
    readonly activate: () => void;
    /** Whether all chunks were read and made startable, with all evidence of earlier holders taken in. */
    readonly isActivated: () => boolean;
    /** Places and starts what can start now. */
    readonly startTasks: () => void;
    readonly onRunning: (held: HeldWorker, running: readonly RunningTask[], sentAt: number) => void;
    readonly onEnded: (held: HeldWorker, ended: readonly EndedTask[]) => void;
    /** The worker forgot or lost all that it ran. */
    readonly onWorkerLost: (held: HeldWorker) => void;
    /** Settles starts with unknown outcome after an adoption, whose inventory was taken in already. */
    readonly onAdopted: (held: HeldWorker) => void;
    /** Ledgers that the next write must hold. */
    readonly dirtyLedgers: () => readonly ChunkLedger[];
    /** Orders that have been applied and can be deleted with the next write. */
    readonly appliedOrders: () => readonly TableRow<CellOrder>[];
    /** Forgets orders and settled chunks that a write has taken over. */
    readonly onWritten: (ledgers: readonly ChunkLedger[], orders: readonly TableRow<CellOrder>[]) => void;
    /** Evictions that the task has suffered. */
    readonly evictionsOf: (task: TaskId) => number;
    /** Milliseconds that the task's job has to spare. */
    readonly slackOf: (task: TaskId) => number;
    readonly explain: (job: JobId) => readonly string[];
}

/** Options of {@link createChunkRunner}. */
export interface ChunkRunnerOptions {
    readonly context: CellContext;
    /** Whether every roster worker obeys this epoch or is proven gone. */
    readonly mayStart: () => boolean;
    /** Whether a worker of the roster has restarted or gone since its tasks were accounted for. */
    readonly hasLostTaskHistory: () => boolean;
    /** Asks for a write soon. */
    readonly requestWrite: () => void;
}

/** Creates a runner without chunks. */
export const createChunkRunner = (options: ChunkRunnerOptions): ChunkRunner => {
    const { context, mayStart, hasLostTaskHistory: hasLostEvidence, requestWrite } = options;
    const { cell, platform, scheduler, workers, timing } = context;
    const book = createChunkRegistry(context);
    const {
        activeKeys: active,
        firstAttempt,
        ledgerOf,
        ledgers,
        requeue: putBack,
        stopTasks,
        workerOf: workerRunning,
    } = book;
    const jobs = new Map<JobId, Job>();
    const orders = new Map<string, TableRow<CellOrder>>();
    const readySince = new Map<string, number>();
    let isLoaded = false;
    const ends = createTaskReconciler({ context, registry: book, requestWrite, isLoaded: () => isLoaded });
    const starts = createTaskStarter({ context, registry: book, requestWrite, readySince });

    const loadJob = async (job: JobId): Promise<Job | undefined> => {
        const known = jobs.get(job);
        if (known !== undefined) {
            return known;
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
            // Chunks that are not active yet settle their waiting tasks on activation.
            for (const index of scheduler.dropWork(ledger.work.key)) {
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
            putBack(ledger, ledger.pendingTask(order.index, firstAttempt + attemptsPerEpoch / 2));
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
    /** Non-idempotent tasks below the intent that nobody shows have run, unless all evidence is at hand. */
    const isDoubtful = (ledger: ChunkLedger, index: number): boolean =>
        !ledger.job.specification.idempotent
        && index < ledger.chunk().intentUpTo
        && ledger.chunk().evicted[index] === undefined
        && hasLostEvidence();
    const activateLedger = (ledger: ChunkLedger): void => {
        active.add(ledger.work.key);
        readySince.set(ledger.work.key, performance.now());
        const open = ledger.openIndices()
            .filter(index => workerRunning(taskId(ledger.job.id, index)) === undefined);
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
                ends.onLoaded();
                orderRows.value.forEach(applyOrder);
            }
            return isLoaded;
        },
        activate: () => {
            if (!isLoaded || !mayStart()) {
                return;
            }
            for (const [key, ledger] of ledgers) {
                if (!active.has(key)) {
                    activateLedger(ledger);
                }
            }
        },
        isActivated: () => isLoaded && ledgers.size === active.size,
        startTasks: () => {
            if (isLoaded && mayStart()) {
                starts.startTasks();
            }
        },
        onRunning: ends.onRunning,
        onEnded: ends.onEnded,
        onWorkerLost: ends.onWorkerLost,
        onAdopted: starts.onAdopted,
        dirtyLedgers: () => [...ledgers.values()].filter(ledger => ledger.isDirty()),
        appliedOrders: () => [...orders.values()],
        onWritten: (written, deleted) => {
            for (const ledger of written) {
                if (ledger.isSettled() && !ledger.isDirty()) {
                    ledgers.delete(ledger.work.key);
                    active.delete(ledger.work.key);
                    readySince.delete(ledger.work.key);
                    scheduler.dropWork(ledger.work.key);
                }
            }
            for (const order of deleted) {
                orders.delete(order.key);
            }
        },
        evictionsOf: task => ledgerOf(task)?.chunk().evicted[parseTaskId(task).index]?.evictions ?? 0,
        slackOf: task => {
            const ledger = ledgerOf(task);
            return ledger === undefined ? Infinity : scheduler.laxity(ledger.work);
        },
        explain: job =>
            [...ledgers.values()].filter(ledger => ledger.job.id === job).map(ledger => {
                const key = ledger.work.key;
                const state = active.has(key) ? "active" : "waits until every worker of the roster obeys this holder";
                const lateBy = Math.round(scheduler.laxity(ledger.work) / 1_000);
                return `chunk ${key} in ${cell}: ${state}; ${String(scheduler.pendingOf(key))} tasks wait, `
                    + `laxity ${Number.isFinite(lateBy) ? String(lateBy) + " s" : "without deadline"}, `
                    + `renewal every ${String(timing.renewal)} ms`;
            }),
    };
};
