import type { CellId, JobId } from "@jayfront/world";
import type { Result } from "true-myth";

import type { StateStore, StoreError } from "../port/state-store.js";
import { rowKeys } from "./row-keys.js";

/** What the index says of an id, as of one version of the store. */
export interface WorkflowIndexEntry {
    /** The cell that has the workflow; undefined where none has. */
    readonly cell: CellId | undefined;
    readonly version: number;
}

/** Reads which cell has a workflow. */
export const readWorkflowIndex = async (
    store: StateStore,
    id: JobId,
): Promise<Result<WorkflowIndexEntry, StoreError>> => {
    const { table, partition, key } = rowKeys.index(id);
    const read = await store.read(table, partition, key);
    return read.map(({ rows: [row], version }) => ({ cell: row?.value as CellId | undefined, version }));
};
