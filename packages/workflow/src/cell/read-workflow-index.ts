import type { CellId, JobId } from "@jayfront/world";
import type { Result } from "true-myth";

import type { StateStore, StoreError } from "../port/state-store.js";
import { rowKeys } from "./row-keys.js";

/** Entry of a workflow id in the index of all cells' workflows, as of one version of the store. */
export interface WorkflowIndexEntry {
    /** The cell that stores the workflow; undefined if none does. */
    readonly cell: CellId | undefined;
    /** Version of the store at which the entry was read. */
    readonly version: number;
}

/** Reads from the index which cell stores a workflow. */
export const readWorkflowIndex = async (
    store: StateStore,
    id: JobId,
): Promise<Result<WorkflowIndexEntry, StoreError>> => {
    const { table, partition, key } = rowKeys.index(id);
    const read = await store.read(table, partition, key);
    return read.map(({ rows: [row], version }) => ({ cell: row?.value as CellId | undefined, version }));
};
