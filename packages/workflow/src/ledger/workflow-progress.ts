import type { CellId } from "@jayfront/world";
import { z } from "zod";

import { transferredTask } from "./transferred-task.js";

const pairs = <Value extends z.ZodType>(value: Value): z.ZodArray<z.ZodTuple<[z.ZodInt, Value]>> =>
    z.array(z.tuple([z.int(), value]));

/** Schema of the progress of one step in one occurrence. */
const stepProgress = z.object({
    occurrence: z.int(),
    /** Index of the step. */
    step: z.int(),
    /** Indices of the tasks that are done. */
    done: z.array(z.int()),
    /** First and last of the indices of tasks that are done, beside those in `done`; absent in rows of earlier releases. */
    doneRanges: z.array(z.tuple([z.int(), z.int()])).optional(),
    /** Numbers of failed runs by task index. */
    failures: pairs(z.array(z.int())),
    /** Runs under which a worker crashed, with their weights, by task index. */
    crashes: pairs(z.array(z.tuple([z.int(), z.int()]))).default([]),
    /** Newest checkpoint by task index. */
    checkpoints: pairs(z.string()),
    /** Numbers of the last runs of tasks that other cells have given back, by task index. */
    lastRuns: pairs(z.int()).default([]),
});

/** Progress of one step in one occurrence. */
export type StepProgress = z.infer<typeof stepProgress>;

/** Schema of a progress row: the part of a ledger that the next holder of the workflow needs. */
export const workflowProgress = z.object({
    isCancelled: z.boolean(),
    isFailed: z.boolean(),
    hasStarted: z.boolean(),
    /** The steps that are not done, by occurrence, with ends or failures; in rows of earlier releases all that were open. */
    steps: z.array(stepProgress),
    /** A step, and the first and last of the occurrences in which it is done; absent in rows of earlier releases. */
    finished: z.array(z.tuple([z.int(), z.int(), z.int()])).optional(),
    /** Long-running tasks that other cells run for the workflow, by cell. */
    transfers: z.array(z.object({
        cell: z.string().transform(value => value as CellId),
        tasks: z.array(transferredTask),
    })).default([]),
});

/** Contents of a progress row. */
export type WorkflowProgress = z.infer<typeof workflowProgress>;
