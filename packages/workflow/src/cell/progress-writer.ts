import type { CellId, JobId } from "@jayfront/world";
import { createWakeUp, sleep } from "@jayfront/world";
import type { Logger } from "pino";

import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { RowKey, StateStore, StoredRow, StoreError, Transaction } from "../port/state-store.js";
import { createTransactionSize } from "../store/transaction-size.js";
import type { CellLease } from "./cell-lease.js";
import { encodeProgress } from "./encode-progress.js";
import { rowKeys } from "./row-keys.js";
import type { TransferRowChanges } from "./transfer-row-changes.js";
import { createTransferRowChanges } from "./transfer-row-changes.js";

/** Stores the progress of a cell's workflows, in batches of many workflows per transaction. */
export interface ProgressWriter {
    /** Queues the ledger's state for writing; `onWritten` is called once a state at least as new is stored. */
    readonly request: (ledger: WorkflowLedger, onWritten?: () => void) => void;
    /** Sets the version that a workflow's progress row has in the store; 0 if there is no row. */
    readonly setVersion: (id: JobId, version: number) => void;
    /**
     * Takes over the version of the row of the tasks transferred to the cell `other`, as read from the store; false if a
     * later version is known.
     */
    readonly recordTransferRead: TransferRowChanges["recordRead"];
    /** Drops the versions and the pending write of a workflow that is no longer kept in memory. */
    readonly forget: (id: JobId) => void;
    /** Writes what is queued until `signal` aborts; progress that the store does not accept holds up no other. */
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
    /** Called with a transfer row of a workflow that the holder of the cell `other` was found to have changed. */
    readonly onTransferChanged: (ledger: WorkflowLedger, other: CellId, row: StoredRow) => void;
}

/** Milliseconds for which requests are collected before a write; two round trips to a store that answers in 4 ms. */
const batchDelay = 8;
/** Milliseconds before a failed write is retried; a tenth of the expected length of a store outage. */
const retryDelay = 200;
/** Milliseconds of one wait for requests; its length does not matter, since each request ends it. */
const idleWait = 60_000;
/** Milliseconds until progress is sent again that the store did not accept; only newer progress may be accepted. */
const rejectedRetryDelay = 5_000;

/** A ledger to be written, with the callbacks to call afterwards. */
interface PendingWrite {
    readonly ledger: WorkflowLedger;
    readonly callbacks: (() => void)[];
}

/** A ledger in a transaction, with its changes and the callbacks to call once they are stored. */
interface BatchEntry {
    readonly ledger: WorkflowLedger;
    readonly revision: number;
    readonly isSettled: boolean;
    readonly callbacks: readonly (() => void)[];
    readonly changes: Required<Transaction>;
    /** See `EncodedProgress`. */
    readonly omittedCheckpoints: number;
    readonly transferChanges: Required<Transaction>;
}

/** Creates a writer without pending writes. */
export const createProgressWriter = (options: ProgressWriterOptions): ProgressWriter => {
    const { cell, lease, store, logger, onWritten, onTransferChanged } = options;
    const versions = new Map<JobId, number>();
    const transferRows = createTransferRowChanges(cell);
    const pending = new Map<JobId, PendingWrite>();
    /**
     * Workflows that are written in a transaction of their own, since the store did not accept their last one, with the
     * monotonic time in ms from which they may be written.
     */
    const isolatedFrom = new Map<JobId, number>();
    const wakeUp = createWakeUp();

    const resolveConflict = (
        error: Extract<StoreError, { kind: "conflict"; }>,
        entries: readonly { readonly ledger: WorkflowLedger; }[],
    ): void => {
        const find = ({ table, partition, key }: RowKey): StoredRow | undefined =>
            error.rows.find(row => row.table === table && row.partition === partition && row.key === key);
        if (find(rowKeys.holder(cell))?.version !== lease.check.version) {
            lease.markLost("a write of workflow progress found another holder in the cell's holder row");
            return;
        }
        for (const { ledger } of entries) {
            const { id } = ledger.workflow;
            // Only this holder writes progress rows, so another version comes from an earlier write without an answer.
            versions.set(id, find(rowKeys.progress(cell, id))?.version ?? 0);
            transferRows.resolveConflict(ledger, find).forEach(([other, row]) => {
                onTransferChanged(ledger, other, row);
            });
        }
    };
    /** Changes that store a workflow's progress; a workflow that has ended keeps only its settled row. */
    const changesOf = (
        { workflow: { id }, latestState, isSettled, progress }: WorkflowLedger,
    ): Pick<BatchEntry, "changes" | "omittedCheckpoints"> => {
        const key = rowKeys.progress(cell, id);
        const version = versions.get(id) ?? 0;
        const check = { ...key, version };
        if (isSettled()) {
            return {
                changes: {
                    checks: [check],
                    writes: [{
                        ...rowKeys.settled(cell, id),
                        value: JSON.stringify({ state: latestState(), settledAt: Date.now() }),
                    }],
                    removals: [rowKeys.workflow(cell, id), key],
                },
                omittedCheckpoints: 0,
            };
        }
        // The progress row is absent both before its first write and after the end, when a late first write must fail.
        const endChecks = version === 0 ? [{ ...rowKeys.settled(cell, id), version: 0 }] : [];
        const { value, omittedCheckpoints } = encodeProgress(progress(), store.limits.valueBytes);
        return {
            changes: { checks: [check, ...endChecks], writes: [{ ...key, value }], removals: [] },
            omittedCheckpoints,
        };
    };
    /** Monotonic time in ms from which a workflow may be written; an end state is small, so that it need not wait. */
    const dueAt = (ledger: WorkflowLedger): number =>
        ledger.isSettled() ? -Infinity : isolatedFrom.get(ledger.workflow.id) ?? -Infinity;
    /** Removes as many writes from the queue as one transaction can take. */
    const takeBatch = (): readonly BatchEntry[] => {
        const batch: BatchEntry[] = [];
        const size = createTransactionSize();
        size.add({ checks: [lease.check], writes: [] });
        for (const [id, { ledger, callbacks }] of pending) {
            const isAlone = isolatedFrom.has(id);
            if (dueAt(ledger) > performance.now() || isAlone && batch.length > 0) {
                continue;
            }
            const { changes, omittedCheckpoints } = changesOf(ledger);
            const transferChanges = transferRows.of(ledger);
            size.add(changes, transferChanges);
            if (batch.length > 0 && !size.isWithin(store.limits)) {
                break;
            }
            pending.delete(id);
            batch.push({
                ledger,
                revision: ledger.revision(),
                isSettled: ledger.isSettled(),
                callbacks: callbacks.splice(0),
                changes,
                omittedCheckpoints,
                transferChanges,
            });
            if (isAlone) {
                break;
            }
        }
        return batch;
    };
    /** Separates workflows whose common transaction the store did not accept, and puts off a single one. */
    const isolate = (entries: readonly BatchEntry[], message: string): void => {
        const [first, ...others] = entries;
        if (first === undefined) {
            return;
        }
        const now = performance.now();
        if (others.length > 0) {
            entries.forEach(({ ledger }) => isolatedFrom.set(ledger.workflow.id, now));
            return;
        }
        const { id } = first.ledger.workflow;
        isolatedFrom.set(id, now + rejectedRetryDelay);
        const size = createTransactionSize();
        size.add(first.changes, first.transferChanges);
        logger.error(
            { cell, job: id, message, ...size.total(), limits: store.limits, retryAfter: rejectedRetryDelay },
            "the store does not accept the progress of a workflow, so that its ends stay unacknowledged; cancel it and "
                + "submit it as several workflows",
        );
    };
    /** Returns whether the next batch may follow at once. */
    const commit = async (entries: readonly BatchEntry[]): Promise<boolean> => {
        const allChanges = entries.flatMap(({ changes, transferChanges }) => [changes, transferChanges]);
        const recordProof = lease.trackCall();
        const written = await store.commit({
            checks: [lease.check, ...allChanges.flatMap(({ checks }) => checks)],
            writes: allChanges.flatMap(({ writes }) => writes),
            removals: allChanges.flatMap(({ removals }) => removals),
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
            else if (written.error.kind === "rejected") {
                isolate(entries, written.error.message);
                return entries.length > 1;
            }
            else {
                lease.recordStoreFailure();
            }
            return false;
        }
        recordProof();
        for (const { ledger, revision, isSettled, transferChanges, omittedCheckpoints } of entries) {
            const { id } = ledger.workflow;
            if (omittedCheckpoints > 0) {
                logger.warn(
                    { cell, job: id, omittedCheckpoints, valueBytes: store.limits.valueBytes },
                    "progress was stored without some checkpoints, since a row of the store can't hold them",
                );
            }
            versions.set(id, isSettled ? 0 : written.value);
            transferRows.recordStored(id, transferChanges, written.value);
            ledger.markStored(revision);
            isolatedFrom.delete(id);
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
    /** Milliseconds until a queued write is due; at most `idleWait`. */
    const timeUntilDue = (): number => {
        const now = performance.now();
        return [...pending.values()].reduce(
            (shortest, { ledger }) => Math.min(shortest, Math.max(0, dueAt(ledger) - now)),
            idleWait,
        );
    };
    const waitForWork = async (signal: AbortSignal): Promise<void> => {
        const delay = timeUntilDue();
        if (delay > 0) {
            await wakeUp.wait(delay, signal);
        }
        await sleep(batchDelay, signal);
    };
    return {
        request,
        setVersion: (id, version) => {
            versions.set(id, version);
        },
        recordTransferRead: transferRows.recordRead,
        forget: id => {
            versions.delete(id);
            transferRows.forget(id);
            pending.delete(id);
            isolatedFrom.delete(id);
        },
        run: async signal => {
            while (!signal.aborted) {
                await waitForWork(signal);
                const batch = signal.aborted ? [] : takeBatch();
                if (batch.length > 0 && !await commit(batch)) {
                    await sleep(retryDelay, signal);
                }
            }
        },
    };
};
