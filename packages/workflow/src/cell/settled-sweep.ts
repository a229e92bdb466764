import type { JobId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import type { Logger } from "pino";

import type { StateStore, StoredRow } from "../port/state-store.js";
import type { CellLease } from "./cell-lease.js";
import { decodeSettledWorkflow } from "./decode-settled-workflow.js";
import { rowKeys } from "./row-keys.js";

/** Removes the stored rows of ended workflows after the retention. */
export interface SettledSweep {
    /** Adds a workflow whose settled row was written at `at` (Unix ms) and has the version `version`. */
    readonly add: (id: JobId, at: number, version: number) => void;
    /** Sweeps periodically until `signal` aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Options of {@link createSettledSweep}. */
export interface SettledSweepOptions {
    readonly lease: CellLease;
    readonly store: StateStore;
    readonly logger: Logger;
    /** Milliseconds for which the state of a workflow can be queried after it has ended. */
    readonly retention: number;
}

/** Time at which the settled row of a workflow was written (Unix ms), and the row's version. */
interface SettledRow {
    readonly at: number;
    readonly version: number;
}

/** Multiple of the retention for which rows are kept, to allow for differences between the clocks of hosts. */
const retentionFactor = 2;
/** Entries of a transaction that a workflow takes: the check and the removal of its settled row, and its index row. */
const entriesPerWorkflow = 3;
/** Interval between two sweeps, as a fraction of the retention. */
const sweepIntervalShare = 0.1;

/** Creates a sweep without rows; `run` reads those that earlier holders wrote. */
export const createSettledSweep = ({ lease, store, logger, retention }: SettledSweepOptions): SettledSweep => {
    const { cell } = lease;
    const endedRows = new Map<JobId, SettledRow>();
    let hasReadEarlier = false;

    /** Reads the settled rows of earlier holders; these are removed only after a successful read. */
    const readEarlier = async (): Promise<void> => {
        const { table, partition } = rowKeys.settled(cell, "" as JobId);
        const read = await store.read(table, partition);
        if (read.isErr) {
            logger.warn(
                { cell, error: read.error.kind, message: read.error.message },
                "reading the rows of ended workflows failed; retrying at the next sweep",
            );
            return;
        }
        hasReadEarlier = true;
        for (const row of read.value.rows) {
            const decoded = decodeSettledWorkflow(row);
            if (decoded.isErr) {
                logger.error({ cell, job: row.key, version: row.version, error: decoded.error }, "stored row left out");
                continue;
            }
            endedRows.set(row.key as JobId, { at: decoded.value.settledAt, version: row.version });
        }
    };
    /** Updates the versions to those in the store, and drops workflows whose rows are gone already. */
    const resolveConflict = (due: readonly (readonly [JobId, SettledRow])[], rows: readonly StoredRow[]): void => {
        const { table } = rowKeys.settled(cell, "" as JobId);
        const storedVersions = new Map(rows.filter(row => row.table === table).map(row => [row.key, row.version]));
        for (const [id, { at }] of due) {
            const version = storedVersions.get(id);
            if (version === undefined) {
                endedRows.delete(id);
            }
            else {
                endedRows.set(id, { at, version });
            }
        }
    };
    const removeOld = async (): Promise<void> => {
        const cutoff = Date.now() - retention * retentionFactor;
        // One entry is the check of the lease.
        const mostPerRemoval = Math.floor((store.limits.entries - 1) / entriesPerWorkflow);
        const due = [...endedRows].filter(([, { at }]) => at < cutoff).slice(0, mostPerRemoval);
        if (due.length === 0) {
            return;
        }
        const removed = await store.commit({
            // An earlier, unanswered removal may have succeeded, and the id may have been submitted again since.
            checks: [lease.check, ...due.map(([id, { version }]) => ({ ...rowKeys.settled(cell, id), version }))],
            writes: [],
            removals: due.flatMap(([id]) => [rowKeys.settled(cell, id), rowKeys.index(id)]),
        });
        if (removed.isErr && removed.error.kind === "conflict") {
            resolveConflict(due, removed.error.rows);
        }
        if (removed.isErr) {
            logger.warn(
                { cell, error: removed.error.kind, message: removed.error.message },
                "removing the rows of ended workflows failed; retrying at the next sweep",
            );
            return;
        }
        due.forEach(([id]) => endedRows.delete(id));
        logger.info({ cell, workflows: due.length, left: endedRows.size }, "rows of ended workflows removed");
        await removeOld();
    };
    return {
        add: (id, at, version) => {
            endedRows.set(id, { at, version });
        },
        run: async signal => {
            while (!signal.aborted) {
                await sleep(retention * sweepIntervalShare, signal);
                if (!signal.aborted && !hasReadEarlier) {
                    await readEarlier();
                }
                if (!signal.aborted) {
                    await removeOld();
                }
            }
        },
    };
};
