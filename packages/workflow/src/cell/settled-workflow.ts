import { z } from "zod";

/** Schema of the row that replaces the other rows of a workflow when it ends. */
export const settledWorkflow = z.object({
    state: z.enum(["completed", "failed", "cancelled"]),
    /** Unix time in milliseconds. */
    settledAt: z.number(),
});

/** Stored end state of a workflow. */
export type SettledWorkflow = z.infer<typeof settledWorkflow>;
