import type { JobId } from "@jayfront/world";
import type { Result } from "true-myth";

import type { StateStore, StoreError } from "../port/state-store.js";
import type { IndexValue } from "./index-value.js";
import { indexValue } from "./index-value.js";
import { rowKeys } from "./row-keys.js";

/** Entry of a workflow id in the index of all cells' workflows, as of one version of the store. */
export interface WorkflowIndexEntry {
    /** Undefined if the index has no such id. */
    readonly value: IndexValue | undefined;
    /** Version of the store at which the entry was read. */
    readonly version: number;
}

/** Reads what the index tells of a workflow. */
export const readWorkflowIndex = async (
    store: StateStore,
    id: JobId,
): Promise<Result<WorkflowIndexEntry, StoreError>> => {
    const { table, partition, key } = rowKeys.index(id);
    const read = await store.read(table, partition, key);
    return read.map(({ rows: [row], version }) => ({ value: row && indexValue.decode(row.value), version }));
};
