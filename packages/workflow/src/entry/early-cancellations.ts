import type { CellId, JobId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import type { Logger } from "pino";

import { indexValue } from "../cell/index-value.js";
import { rowKeys } from "../cell/row-keys.js";
import { createRateLimit } from "../policy/rate-limit.js";
import type { StateStore, StoredRow } from "../port/state-store.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import type { WorkflowAnswer } from "./workflow-answer.js";

/**
 * Cancellations of workflows that no cell has stored, whose submissions may still be under way at any host. Their ids are
 * taken in the index, where each submission has to enter its own.
 */
export interface EarlyCancellations {
    /** Milliseconds for which a cancelled id can't be submitted, at least. */
    readonly retention: number;
    /**
     * Makes sure that the workflow is never stored; `absent` once it can't be. `known`: a cell stores it, and has to cancel
     * it.
     */
    readonly cancel: (id: JobId) => Promise<WorkflowAnswer<CellId>>;
    /** Removes old cancellations periodically until `signal` aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Options of {@link createEarlyCancellations}. */
export interface EarlyCancellationsOptions {
    readonly store: StateStore;
    /** Longer than any submission is under way; see {@link EarlyCancellations.retention}. */
    readonly retention: number;
    /** Whether this host removes old cancellations, those of other hosts included. */
    readonly mayRemove: () => boolean;
    readonly metrics: Pick<WorkflowMetrics, "earlyCancellations">;
    readonly logger: Logger;
}

/** Cancellations that a host stores in a second, and at once: callers may send any number of ids that nobody submitted. */
const maxPerSecond = 20;
const maxAtOnce = 100;
/** Interval between two removals, as a fraction of the retention. */
const removalIntervalShare = 0.1;
/** Entries of a transaction that a removal takes: two checks and two removals. */
const entriesPerRemoval = 4;

/** A row as it was first read. */
interface SeenRow {
    readonly version: number;
    /** Monotonic time in ms. */
    readonly at: number;
}

/** Creates the cancellations of a host. */
export const createEarlyCancellations = (
    { store, retention, mayRemove, metrics, logger }: EarlyCancellationsOptions,
): EarlyCancellations => {
    const limit = createRateLimit(maxPerSecond, maxAtOnce);
    /** Clocks of hosts may differ and jump, so that the age of a row counts from its first read by this host. */
    let seen = new Map<JobId, SeenRow>();

    const cancelled: WorkflowAnswer<CellId> = {
        kind: "absent",
        reason: "the workflow was cancelled before it was stored",
        isCancelled: true,
    };
    const resolveConflict = (id: JobId, rows: readonly StoredRow[]): WorkflowAnswer<CellId> => {
        const { table } = rowKeys.index(id);
        const row = rows.find(candidate => candidate.table === table && candidate.key === id);
        const value = row && indexValue.decode(row.value);
        if (value === undefined) {
            return { kind: "unavailable", reason: "the index changed while the cancellation was stored" };
        }
        return value.kind === "cancelled" ? cancelled : { kind: "known", value: value.cell };
    };
    const cancel: EarlyCancellations["cancel"] = async id => {
        const now = performance.now();
        if (limit.left(now) < 1) {
            metrics.earlyCancellations.inc({ outcome: "limited" });
            return {
                kind: "unavailable",
                reason: `over ${
                    String(maxPerSecond)
                } cancellations a second of ids that were never submitted; try again`,
            };
        }
        limit.take(1, now);
        const indexKey = rowKeys.index(id);
        const written = await store.commit({
            checks: [{ ...indexKey, version: 0 }],
            writes: [
                { ...indexKey, value: indexValue.encode({ kind: "cancelled" }) },
                { ...rowKeys.cancellation(id), value: "" },
            ],
        });
        metrics.earlyCancellations.inc({ outcome: written.isOk ? "stored" : written.error.kind });
        logger.info(
            { job: id, outcome: written.isOk ? "stored" : written.error.kind },
            "cancellation of a workflow that no cell has stored",
        );
        if (written.isOk) {
            return cancelled;
        }
        return written.error.kind === "conflict"
            ? resolveConflict(id, written.error.rows)
            : { kind: "unavailable", reason: `the cancellation can't be stored: ${written.error.message}` };
    };
    const readRows = async (): Promise<void> => {
        const { table, partition } = rowKeys.cancellation("" as JobId);
        const read = await store.read(table, partition);
        if (read.isErr) {
            logger.warn(
                { error: read.error.kind, message: read.error.message },
                "reading old cancellations failed; retrying at the next removal",
            );
            return;
        }
        const now = performance.now();
        seen = new Map(read.value.rows.map(({ key, version }) => {
            const id = key as JobId;
            const earlier = seen.get(id);
            return [id, earlier?.version === version ? earlier : { version, at: now }];
        }));
    };
    const removeOld = async (): Promise<void> => {
        const cutoff = performance.now() - retention;
        const due = [...seen].filter(([, { at }]) => at < cutoff)
            .slice(0, Math.floor(store.limits.entries / entriesPerRemoval));
        if (due.length === 0) {
            return;
        }
        const keysOf = (id: JobId) => [rowKeys.cancellation(id), rowKeys.index(id)];
        const removed = await store.commit({
            // Both rows were written by one transaction, so that they have the same version.
            checks: due.flatMap(([id, { version }]) => keysOf(id).map(key => ({ ...key, version }))),
            writes: [],
            removals: due.flatMap(([id]) => keysOf(id)),
        });
        if (removed.isErr) {
            logger.warn(
                { error: removed.error.kind, message: removed.error.message },
                "removing old cancellations failed; retrying at the next removal",
            );
            return;
        }
        due.forEach(([id]) => seen.delete(id));
        logger.info({ cancellations: due.length, left: seen.size }, "old cancellations removed");
        await removeOld();
    };
    return {
        retention,
        cancel,
        run: async signal => {
            while (!signal.aborted) {
                await sleep(retention * removalIntervalShare, signal);
                if (signal.aborted || !mayRemove()) {
                    seen = new Map();
                    continue;
                }
                await readRows();
                await removeOld();
            }
        },
    };
};
