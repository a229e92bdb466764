import type { CellId } from "@jayfront/world";
import { z } from "zod";

import { transferredTask } from "../ledger/transferred-task.js";
import type { Workflow } from "../model/workflow.js";

/**
 * Schema of the row by which the holder of a workflow's cell transfers long-running tasks to another cell. Its tasks
 * belong to the other cell until that cell's holder marks them as returned, and after that to the workflow's cell. Both
 * holders write the row only if it still has the version that they know.
 */
export const transferRow = z.object({
    /** The workflow's cell. */
    home: z.string().transform(value => value as CellId),
    /** The workflow as it was accepted. */
    workflow: z.looseObject({ id: z.string(), steps: z.array(z.looseObject({ count: z.int().nonnegative() })) })
        .transform(value => value as unknown as Workflow),
    tasks: z.array(transferredTask.extend({
        /** Whether the other cell has given the task back; `lastRun` is then that of the other cell. */
        isReturned: z.boolean(),
    })),
});

/** Contents of a transfer row. */
export type TransferRow = z.infer<typeof transferRow>;
