import { z } from "zod";

const pairs = <Value extends z.ZodType>(value: Value): z.ZodArray<z.ZodTuple<[z.ZodInt, Value]>> =>
    z.array(z.tuple([z.int(), value]));

/** Schema of a progress row: all that must outlast the holder of a workflow. */
export const workflowProgress = z.object({
    isCancelled: z.boolean(),
    isFailed: z.boolean(),
    hasStarted: z.boolean(),
    /** By occurrence and step. */
    steps: z.array(z.object({
        occurrence: z.int(),
        step: z.int(),
        done: z.array(z.int()),
        /** Numbers of failed runs by index. */
        failures: pairs(z.array(z.int())),
        checkpoints: pairs(z.string()),
    })),
});

/** Contents of a progress row. */
export type WorkflowProgress = z.infer<typeof workflowProgress>;
