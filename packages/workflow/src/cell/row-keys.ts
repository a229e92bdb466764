import type { CellId, JobId } from "@jayfront/world";

import type { RowKey } from "../port/state-store.js";

/** Partitions over which the index of workflows is spread, so that no partition's write rate binds. */
const indexPartitions = 16;

/** Names of the rows that jayfront keeps in the platform's store. */
export const rowKeys = {
    /** Who holds a cell. */
    holder: (cell: CellId): RowKey => ({ table: "cells", partition: cell, key: "holder" }),
    /** Workers on which a cell's tasks may run. */
    roster: (cell: CellId): RowKey => ({ table: "cells", partition: cell, key: "roster" }),
    /** A workflow as accepted. */
    workflow: (cell: CellId, id: JobId): RowKey => ({ table: "workflows", partition: cell, key: id }),
    /** How far a workflow has come. */
    progress: (cell: CellId, id: JobId): RowKey => ({ table: "progress", partition: cell, key: id }),
    /** How a workflow has ended; replaces its other rows of the cell. */
    settled: (cell: CellId, id: JobId): RowKey => ({ table: "settled", partition: cell, key: id }),
    /** The cell of a workflow; makes an id unique over all cells. */
    index: (id: JobId): RowKey => ({
        table: "workflow-index",
        partition: String(Number.parseInt(id.slice(0, 4), 16) % indexPartitions || 0),
        key: id,
    }),
    /** Entry hosts. */
    host: (id: string): RowKey => ({ table: "hosts", partition: "", key: id }),
    /** How workers are divided into cells. */
    cellPlan: { table: "cells", partition: "", key: "plan" } satisfies RowKey,
    /** The key by which entry hosts authenticate each other. */
    peerKey: { table: "secrets", partition: "", key: "peer-key" } satisfies RowKey,
} as const;
