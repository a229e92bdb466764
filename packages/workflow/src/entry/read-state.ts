import type { JobId } from "@jayfront/world";

import type { StoredWorkflow } from "../cell/stored-workflow.js";
import { readStoredWorkflow } from "../cell/stored-workflow.js";
import type { WorkflowState } from "../model/workflow.js";
import type { StateStore } from "../port/state-store.js";
import { lookUpCell } from "./look-up-cell.js";
import type { WorkflowAnswer } from "./workflow-answer.js";

const stateOf = (stored: Exclude<StoredWorkflow, { kind: "absent"; }>): WorkflowState => {
    if (stored.kind === "ended") {
        return stored.state;
    }
    return stored.progress?.hasStarted === true ? "running" : "queued";
};

/** Reads a workflow's state from the store, for when no holder of its cell answers. */
export const readState = async (store: StateStore, id: JobId): Promise<WorkflowAnswer<WorkflowState>> => {
    const cell = await lookUpCell(store, id);
    if (cell.kind !== "known") {
        return cell;
    }
    const stored = await readStoredWorkflow(store, cell.value, id);
    if (stored.isErr) {
        return {
            kind: "unavailable",
            reason: `the workflow's rows in cell ${cell.value} can't be read: ${stored.error.message}`,
        };
    }
    return stored.value.kind === "absent"
        ? {
            kind: "unavailable",
            reason: `the index names cell ${cell.value}, where the workflow's rows are being removed; try again`,
        }
        : { kind: "known", value: stateOf(stored.value) };
};
