import type { CellId } from "@jayfront/world";

import type { TransferredTask } from "./transferred-task.js";

/** The move of a whole workflow without runs to another cell. */
export interface WorkflowMove {
    readonly cell: CellId;
    /** Version of the workflow's index row, which names the former cell. */
    readonly indexVersion: number;
    /** Numbers of the last runs of tasks that may have run; their runs in the other cell have higher ones. */
    readonly lastRuns: readonly TransferredTask[];
}
