import type { CellId, JobId } from "@jayfront/world";
import { createWakeUp, sleep } from "@jayfront/world";
import type { Logger } from "pino";

import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { RowKey, StateStore, StoreError, Transaction } from "../port/state-store.js";
import type { CellLease } from "./cell-lease.js";
import { rowKeys } from "./row-keys.js";

/** Writes the progress of a cell's workflows, many in one transaction. */
export interface ProgressWriter {
    /** Stores the ledger's present state; `onWritten` runs once a state at least as new is stored. */
    readonly request: (ledger: WorkflowLedger, onWritten?: () => void) => void;
    /** Version of a progress row that was read or written before. */
    readonly setVersion: (id: JobId, version: number) => void;
    /** Forgets a workflow whose rows are gone. */
    readonly forget: (id: JobId) => void;
    readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Options of {@link createProgressWriter}. */
export interface ProgressWriterOptions {
    readonly cell: CellId;
    readonly lease: CellLease;
    readonly store: StateStore;
    readonly logger: Logger;
    /** Called with the ledgers that a write has taken over, and the version that their rows have now. */
    readonly onWritten: (ledgers: readonly WorkflowLedger[], version: number) => void;
}

/** Milliseconds for which ends gather before they are written; two calls of a store that answers in 4 ms. */
const gatherTime = 8;
/** Milliseconds before a failed write is tried again; a tenth of the time in which a store outage should end. */
const retryDelay = 200;
/** Milliseconds of one wait for work; any length would do, since each request ends it. */
const idleWait = 60_000;
/** Workflows in one transaction; each takes up to four of the 100 entries that the store takes, the cell's row one. */
const workflowsPerWrite = 24;

interface Waiting {
    readonly ledger: WorkflowLedger;
    readonly callbacks: (() => void)[];
}

/** Creates a writer with nothing to write. */
export const createProgressWriter = (options: ProgressWriterOptions): ProgressWriter => {
    const { cell, lease, store, logger, onWritten } = options;
    const versions = new Map<JobId, number>();
    const waiting = new Map<JobId, Waiting>();
    const wake = createWakeUp();

    const takeConflict = (
        error: Extract<StoreError, { kind: "conflict"; }>,
        entries: readonly { readonly key: RowKey; }[],
    ): void => {
        const holder = rowKeys.holder(cell);
        const found = error.rows.find(row => row.table === holder.table && row.key === holder.key);
        if (found?.version !== lease.check.version) {
            lease.markLost("a write found another holder in the cell's row");
            return;
        }
        // Only this holder writes progress, so another version is a late write of our own.
        for (const { key } of entries) {
            const row = error.rows.find(candidate => candidate.table === key.table && candidate.key === key.key);
            versions.set(key.key as JobId, row?.version ?? 0);
        }
    };
    /** Rows by which a workflow's progress is stored; of one that has ended, only how it ended is kept. */
    const changesOf = (
        { workflow, outcome, isSettled, progress }: WorkflowLedger,
    ): Pick<Transaction, "writes" | "removals"> =>
        isSettled()
            ? {
                writes: [{
                    ...rowKeys.settled(cell, workflow.id),
                    value: JSON.stringify({ state: outcome(), settledAt: Date.now() }),
                }],
                removals: [rowKeys.workflow(cell, workflow.id), rowKeys.progress(cell, workflow.id)],
            }
            : { writes: [{ ...rowKeys.progress(cell, workflow.id), value: JSON.stringify(progress()) }] };
    const commit = async (batch: readonly Waiting[]): Promise<boolean> => {
        const entries = batch.map(({ ledger, callbacks }) => ({
            ledger,
            revision: ledger.revision(),
            isSettled: ledger.isSettled(),
            callbacks: callbacks.splice(0),
            key: rowKeys.progress(cell, ledger.workflow.id),
            changes: changesOf(ledger),
        }));
        const proven = lease.trackCall();
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
            logger.warn({ cell, error: written.error.kind, message: written.error.message }, "progress not written");
            if (written.error.kind === "conflict") {
                takeConflict(written.error, entries);
            }
            else {
                lease.recordStoreFailure();
            }
            return false;
        }
        proven();
        for (const { ledger, revision, key, isSettled } of entries) {
            versions.set(key.key as JobId, isSettled ? 0 : written.value);
            ledger.noteWritten(revision);
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
        const entry = waiting.get(ledger.workflow.id) ?? { ledger, callbacks: [] };
        waiting.set(ledger.workflow.id, entry);
        if (callback !== undefined) {
            entry.callbacks.push(callback);
        }
        wake.notify();
    };
    const waitForWork = async (signal: AbortSignal): Promise<void> => {
        if (waiting.size === 0) {
            await wake.wait(idleWait, signal);
        }
        await sleep(gatherTime, signal);
    };
    return {
        request,
        setVersion: (id, version) => {
            versions.set(id, version);
        },
        forget: id => {
            versions.delete(id);
            waiting.delete(id);
        },
        run: async signal => {
            while (!signal.aborted) {
                await waitForWork(signal);
                const batch = [...waiting.values()].slice(0, workflowsPerWrite);
                batch.forEach(({ ledger }) => waiting.delete(ledger.workflow.id));
                if (batch.length > 0 && !signal.aborted && !await commit(batch)) {
                    await sleep(retryDelay, signal);
                }
            }
        },
    };
};
