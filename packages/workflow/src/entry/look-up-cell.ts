import type { CellId, JobId } from "@jayfront/world";

import { readWorkflowIndex } from "../cell/read-workflow-index.js";
import type { StateStore } from "../port/state-store.js";
import type { WorkflowAnswer } from "./workflow-answer.js";

/** Looks up the cell of a workflow in the index; a workflow for which that names no cell does not exist. */
export const lookUpCell = async (store: StateStore, id: JobId): Promise<WorkflowAnswer<CellId>> => {
    const read = await readWorkflowIndex(store, id);
    if (read.isErr) {
        return { kind: "unavailable", reason: `the index of workflows can't be read: ${read.error.message}` };
    }
    const { value, version } = read.value;
    if (value?.kind === "cancelled") {
        return { kind: "absent", reason: "the workflow was cancelled before it was stored", isCancelled: true };
    }
    return value === undefined
        ? { kind: "absent", reason: `the index of workflows has no such id at store version ${String(version)}` }
        : { kind: "known", value: value.cell };
};
