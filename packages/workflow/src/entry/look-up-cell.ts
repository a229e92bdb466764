import type { CellId, JobId } from "@jayfront/world";

import { readWorkflowIndex } from "../cell/read-workflow-index.js";
import type { StateStore } from "../port/state-store.js";
import type { WorkflowAnswer } from "./workflow-answer.js";

/** Looks up the cell of a workflow in the index; a workflow that is not in the index does not exist. */
export const lookUpCell = async (store: StateStore, id: JobId): Promise<WorkflowAnswer<CellId>> => {
    const read = await readWorkflowIndex(store, id);
    if (read.isErr) {
        return { kind: "unavailable", reason: `the index of workflows can't be read: ${read.error.message}` };
    }
    const { cell, version } = read.value;
    return cell === undefined
        ? { kind: "absent", reason: `the index of workflows has no such id at store version ${String(version)}` }
        : { kind: "known", value: cell };
};
