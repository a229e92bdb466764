import type { CellId, JobId } from "@jayfront/world";

import { tables } from "../cell/tables.js";
import type { StateStore } from "../port/state-store.js";
import type { WorkflowAnswer } from "./workflow-answer.js";

/** Reads from the index which cell has a workflow; the index alone tells that none has. */
export const readCell = async (store: StateStore, id: JobId): Promise<WorkflowAnswer<CellId>> => {
    const { table, partition, key } = tables.index(id);
    const read = await store.read(table, partition, key);
    if (read.isErr) {
        return { kind: "unavailable", reason: `the index can't be read: ${read.error.message}` };
    }
    const { rows: [row], version } = read.value;
    return row === undefined
        ? { kind: "absent", reason: `the index lacks the id at version ${String(version)} of the store` }
        : { kind: "known", value: row.value as CellId };
};
