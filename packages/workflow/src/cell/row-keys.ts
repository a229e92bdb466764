import type { CellId, JobId } from "@jayfront/world";

import type { RowKey } from "../port/state-store.js";

/** Number of partitions of the workflow index; several, since the store limits the write rate of each partition. */
const indexPartitions = 16;

/** Keys of the rows that jayfront keeps in the platform's store. */
export const rowKeys = {
    /** The holder of a cell and its epoch. */
    holder: (cell: CellId): RowKey => ({ table: "cells", partition: cell, key: "holder" }),
    /** The workers on which a cell's tasks may run. */
    roster: (cell: CellId): RowKey => ({ table: "cells", partition: cell, key: "roster" }),
    /** The starts of a cell's tasks that no worker has answered. */
    unansweredStarts: (cell: CellId): RowKey => ({ table: "cells", partition: cell, key: "unanswered-starts" }),
    /** A workflow as it was accepted. */
    workflow: (cell: CellId, id: JobId): RowKey => ({ table: "workflows", partition: cell, key: id }),
    /** The progress of a workflow that has not ended. */
    progress: (cell: CellId, id: JobId): RowKey => ({ table: "progress", partition: cell, key: id }),
    /** The end state of a workflow; replaces its workflow and progress rows. */
    settled: (cell: CellId, id: JobId): RowKey => ({ table: "settled", partition: cell, key: id }),
    /** The long-running tasks of another cell's workflow that `cell` runs; written by the holder of that other cell. */
    transfer: (cell: CellId, id: JobId): RowKey => ({ table: "transfers", partition: cell, key: id }),
    /**
     * The cell that stores a workflow, or that it was cancelled before it was stored; makes its id unique across all
     * cells.
     */
    index: (id: JobId): RowKey => ({
        table: "workflow-index",
        partition: String(Number.parseInt(id.slice(0, 4), 16) % indexPartitions || 0),
        key: id,
    }),
    /** A workflow id that was cancelled before it was stored, to find its index row again. */
    cancellation: (id: JobId): RowKey => ({ table: "cancellations", partition: "", key: id }),
    /** The record of an entry host. */
    host: (id: string): RowKey => ({ table: "hosts", partition: "", key: id }),
    /** The assignment of failure domains to cells. */
    cellPlan: { table: "cells", partition: "", key: "plan" } satisfies RowKey,
    /** The key with which entry hosts authenticate each other. */
    peerKey: { table: "secrets", partition: "", key: "peer-key" } satisfies RowKey,
} as const;
