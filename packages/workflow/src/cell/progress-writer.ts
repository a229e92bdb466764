import type { CellId, JobId } from "@jayfront/world";
import { createWakeUp, sleep } from "@jayfront/world";
import type { Logger } from "pino";

import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { RowKey, StateStore, StoreError, Transaction } from "../port/state-store.js";
import type { CellLease } from "./cell-lease.js";
import { rowKeys } from "./row-keys.js";

/** Stores the progress of a cell's workflows, in batches of many workflows per transaction. */
export interface ProgressWriter {
    /** Queues the ledger's state for writing; `onWritten` is called once a state at least as new is stored. */
    readonly request: (ledger: WorkflowLedger, onWritten?: () => void) => void;
    /** Sets the version that a workflow's progress row has in the store; 0 if there is no row. */
    readonly setVersion: (id: JobId, version: number) => void;
    /** Drops the version and pending write of a workflow that is no longer kept in memory. */
    readonly forget: (id: JobId) => void;
    /** Writes what is queued until `signal` aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Options of {@link createProgressWriter}. */
export interface ProgressWriterOptions {
    readonly cell: CellId;
    readonly lease: CellLease;
    readonly store: StateStore;
    readonly logger: Logger;
    /** Called after each successful write, with the ledgers written and the new version of their rows. */
    readonly onWritten: (ledgers: readonly WorkflowLedger[], version: number) => void;
}

/** Milliseconds for which requests are collected before a write; two round trips to a store that answers in 4 ms. */
const batchDelay = 8;
/** Milliseconds before a failed write is retried; a tenth of the expected length of a store outage. */
const retryDelay = 200;
/** Milliseconds of one wait for requests; its length does not matter, since each request ends it. */
const idleWait = 60_000;
/**
 * Workflows per transaction. The store accepts 100 entries per transaction; a workflow needs up to four of them and the
 * lease check one.
 */
const workflowsPerWrite = 24;

/** A ledger to be written, with the callbacks to call afterwards. */
interface PendingWrite {
    readonly ledger: WorkflowLedger;
    readonly callbacks: (() => void)[];
}

/** Creates a writer without pending writes. */
export const createProgressWriter = (options: ProgressWriterOptions): ProgressWriter => {
    const { cell, lease, store, logger, onWritten } = options;
    const versions = new Map<JobId, number>();
    const pending = new Map<JobId, PendingWrite>();
    const wakeUp = createWakeUp();

    const resolveConflict = (
        error: Extract<StoreError, { kind: "conflict"; }>,
        entries: readonly { readonly key: RowKey; }[],
    ): void => {
        const holderKey = rowKeys.holder(cell);
        const holderRow = error.rows.find(row => row.table === holderKey.table && row.key === holderKey.key);
        if (holderRow?.version !== lease.check.version) {
            lease.markLost("a write of workflow progress found another holder in the cell's holder row");
            return;
        }
        // Only this holder writes progress rows, so another version comes from an earlier write that was not answered.
        for (const { key } of entries) {
            const row = error.rows.find(candidate => candidate.table === key.table && candidate.key === key.key);
            versions.set(key.key as JobId, row?.version ?? 0);
        }
    };
    /** Changes that store a workflow's progress; a workflow that has ended keeps only its settled row. */
    const changesOf = (
        { workflow, latestState, isSettled, progress }: WorkflowLedger,
    ): Pick<Transaction, "writes" | "removals"> =>
        isSettled()
            ? {
                writes: [{
                    ...rowKeys.settled(cell, workflow.id),
                    value: JSON.stringify({ state: latestState(), settledAt: Date.now() }),
                }],
                removals: [rowKeys.workflow(cell, workflow.id), rowKeys.progress(cell, workflow.id)],
            }
            : { writes: [{ ...rowKeys.progress(cell, workflow.id), value: JSON.stringify(progress()) }] };
    const commit = async (batch: readonly PendingWrite[]): Promise<boolean> => {
        const entries = batch.map(({ ledger, callbacks }) => ({
            ledger,
            revision: ledger.revision(),
            isSettled: ledger.isSettled(),
            callbacks: callbacks.splice(0),
            key: rowKeys.progress(cell, ledger.workflow.id),
            changes: changesOf(ledger),
        }));
        const recordProof = lease.trackCall();
        const written = await store.commit({
            checks: [
                lease.check,
                ...entries.map(({ key }) => ({ ...key, version: versions.get(key.key as JobId) ?? 0 })),
            ],
            writes: entries.flatMap(({ changes }) => changes.writes),
            removals: entries.flatMap(({ changes }) => changes.removals ?? []),
        });
        if (written.isErr) {
            entries.forEach(({ ledger, callbacks }) => {
                request(ledger);
                callbacks.forEach(callback => {
                    request(ledger, callback);
                });
            });
            logger.warn(
                { cell, error: written.error.kind, message: written.error.message },
                "writing workflow progress failed; retrying while this host holds the cell",
            );
            if (written.error.kind === "conflict") {
                resolveConflict(written.error, entries);
            }
            else {
                lease.recordStoreFailure();
            }
            return false;
        }
        recordProof();
        for (const { ledger, revision, key, isSettled } of entries) {
            versions.set(key.key as JobId, isSettled ? 0 : written.value);
            ledger.markStored(revision);
        }
        entries.forEach(({ callbacks }) => {
            callbacks.forEach(callback => {
                callback();
            });
        });
        onWritten(entries.map(({ ledger }) => ledger), written.value);
        return true;
    };
    const request = (ledger: WorkflowLedger, callback?: () => void): void => {
        const entry = pending.get(ledger.workflow.id) ?? { ledger, callbacks: [] };
        pending.set(ledger.workflow.id, entry);
        if (callback !== undefined) {
            entry.callbacks.push(callback);
        }
        wakeUp.notify();
    };
    const waitForWork = async (signal: AbortSignal): Promise<void> => {
        if (pending.size === 0) {
            await wakeUp.wait(idleWait, signal);
        }
        await sleep(batchDelay, signal);
    };
    return {
        request,
        setVersion: (id, version) => {
            versions.set(id, version);
        },
        forget: id => {
            versions.delete(id);
            pending.delete(id);
        },
        run: async signal => {
            while (!signal.aborted) {
                await waitForWork(signal);
                const batch = [...pending.values()].slice(0, workflowsPerWrite);
                batch.forEach(({ ledger }) => pending.delete(ledger.workflow.id));
                if (batch.length > 0 && !signal.aborted && !await commit(batch)) {
                    await sleep(retryDelay, signal);
                }
            }
        },
    };
};
