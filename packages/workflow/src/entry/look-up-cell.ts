import type { CellId, JobId } from "@jayfront/world";

import { readWorkflowIndex } from "../cell/read-workflow-index.js";
import type { StateStore } from "../port/state-store.js";
import type { WorkflowAnswer } from "./workflow-answer.js";

/** Reads from the index which cell has a workflow; the index alone tells that none has. */
export const lookUpCell = async (store: StateStore, id: JobId): Promise<WorkflowAnswer<CellId>> => {
    const read = await readWorkflowIndex(store, id);
    if (read.isErr) {
        return { kind: "unavailable", reason: `the index can't be read: ${read.error.message}` };
    }
    const { cell, version } = read.value;
    return cell === undefined
        ? { kind: "absent", reason: `the index lacks the id at version ${String(version)} of the store` }
        : { kind: "known", value: cell };
};
