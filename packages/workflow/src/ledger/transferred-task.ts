import { z } from "zod";

/** Schema of a long-running task that a cell other than its workflow's runs. Scheduled workflows have none. */
export const transferredTask = z.object({
    occurrence: z.int(),
    /** Index of the step. */
    step: z.int(),
    /** Index of the task in the step. */
    index: z.int(),
    /** Highest number of a run of the task in the workflow's cell; 0 if it never ran there. */
    lastRun: z.int(),
});

/** A long-running task that a cell other than its workflow's runs. */
export type TransferredTask = z.infer<typeof transferredTask>;
