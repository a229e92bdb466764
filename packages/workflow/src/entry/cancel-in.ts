import type { JobId } from "@jayfront/world";

import type { WorkflowCell } from "../cell/workflow-cell.js";

/** Cancels a workflow in a cell that this host holds. */
export const cancelIn = async (
    cell: WorkflowCell,
    id: JobId,
): Promise<"cancelled" | "unknown" | "not-known" | "not-holder"> => {
    if (!cell.isActive()) {
        return "not-holder";
    }
    if (cell.state(id) === undefined) {
        return "not-known";
    }
    return await cell.cancel(id) ? "cancelled" : "unknown";
};
