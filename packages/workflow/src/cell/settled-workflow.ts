import { z } from "zod";

/** Schema of the row that is left of a workflow that has ended. */
export const settledWorkflow = z.object({
    state: z.enum(["completed", "failed", "cancelled"]),
    /** Unix milliseconds. */
    settledAt: z.number(),
});

/** What is left of a workflow that has ended. */
export type SettledWorkflow = z.infer<typeof settledWorkflow>;
