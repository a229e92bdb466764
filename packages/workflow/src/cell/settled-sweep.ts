import type { JobId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import type { Logger } from "pino";

import type { StateStore, StoredRow } from "../port/state-store.js";
import type { CellLease } from "./cell-lease.js";
import { rowKeys } from "./row-keys.js";
import { settledWorkflow } from "./settled-workflow.js";

/** Removes the rows of workflows that have ended once nobody needs to be told of them any more. */
export interface SettledSweep {
    /** The workflow's end was stored at `at` (Unix ms), in a row of the version `version`. */
    readonly add: (id: JobId, at: number, version: number) => void;
    readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Options of {@link createSettledSweep}. */
export interface SettledSweepOptions {
    readonly lease: CellLease;
    readonly store: StateStore;
    readonly logger: Logger;
    /** Milliseconds for which workflows have to be known after their end. */
    readonly retention: number;
}

/** When a workflow's end was stored (Unix ms), and the version of the row that says so. */
interface SettledRow {
    readonly at: number;
    readonly version: number;
}

/** Rows are kept for this multiple of the retention, so that clocks that differ between hosts don't matter. */
const retentionFactor = 2;
/** Workflows in one transaction; each takes three of the 100 entries that the store takes, the cell's check one. */
const workflowsPerRemoval = 33;
/** Share of the retention between two sweeps. */
const sweepShare = 0.1;

/** Creates a sweep that knows of no rows; `run` reads those of earlier holders. */
export const createSettledSweep = ({ lease, store, logger, retention }: SettledSweepOptions): SettledSweep => {
    const { cell } = lease;
    const ends = new Map<JobId, SettledRow>();
    let isRead = false;

    /** Reads what earlier holders have left; until then their rows are not removed. */
    const readEarlier = async (): Promise<void> => {
        const { table, partition } = rowKeys.settled(cell, "" as JobId);
        const read = await store.read(table, partition);
        if (read.isErr) {
            logger.warn({ cell, error: read.error.kind, message: read.error.message }, "ended workflows not read");
            return;
        }
        isRead = true;
        for (const row of read.value.rows) {
            const { settledAt } = settledWorkflow.parse(JSON.parse(row.value));
            ends.set(row.key as JobId, { at: settledAt, version: row.version });
        }
    };
    /** Takes over the versions that the store has; rows that are gone need no removal. */
    const takeConflict = (due: readonly (readonly [JobId, SettledRow])[], rows: readonly StoredRow[]): void => {
        const { table } = rowKeys.settled(cell, "" as JobId);
        const standing = new Map(rows.filter(row => row.table === table).map(row => [row.key, row.version]));
        for (const [id, { at }] of due) {
            const version = standing.get(id);
            if (version === undefined) {
                ends.delete(id);
            }
            else {
                ends.set(id, { at, version });
            }
        }
    };
    const removeOld = async (): Promise<void> => {
        const oldest = Date.now() - retention * retentionFactor;
        const due = [...ends].filter(([, { at }]) => at < oldest).slice(0, workflowsPerRemoval);
        if (due.length === 0) {
            return;
        }
        const removed = await store.commit({
            // A removal without answer may have been done, and the id handed in again since.
            checks: [lease.check, ...due.map(([id, { version }]) => ({ ...rowKeys.settled(cell, id), version }))],
            writes: [],
            removals: due.flatMap(([id]) => [rowKeys.settled(cell, id), rowKeys.index(id)]),
        });
        if (removed.isErr && removed.error.kind === "conflict") {
            takeConflict(due, removed.error.rows);
        }
        if (removed.isErr) {
            logger.warn({ cell, error: removed.error.kind, message: removed.error.message }, "old rows not removed");
            return;
        }
        due.forEach(([id]) => ends.delete(id));
        logger.info({ cell, workflows: due.length, left: ends.size }, "rows of ended workflows removed");
        await removeOld();
    };
    return {
        add: (id, at, version) => {
            ends.set(id, { at, version });
        },
        run: async signal => {
            while (!signal.aborted) {
                await sleep(retention * sweepShare, signal);
                if (!signal.aborted && !isRead) {
                    await readEarlier();
                }
                if (!signal.aborted) {
                    await removeOld();
                }
            }
        },
    };
};
