import { z } from "zod";

import type { CellId } from "./id/cell-id.js";
import type { JobId } from "./id/job-id.js";

/** Largest number of tasks of a job. */
const maximumTasks = 100_000;
/** Largest number of payloads of a job. */
const maximumPayloads = 1_000;

/** Schema of a job as a caller submits it. */
export const jobSpecification = z.strictObject({
    team: z.string().min(1).max(64),
    /** Batch class of the environment document. */
    batchClass: z.string().min(1).max(64),
    /** Number of tasks; may be omitted where `payloads` lists one for each. */
    tasks: z.int().min(1).max(maximumTasks).optional(),
    /** One payload for each task; replaces `payload`. */
    payloads: z.array(z.string().max(1_024)).min(1).max(maximumPayloads).optional(),
    /** Declared resources of one task. */
    resources: z.strictObject({
        cores: z.number().positive().max(4_096),
        /** GB. */
        memory: z.number().positive().max(65_536),
        accelerators: z.int().min(0).max(64).default(0),
    }),
    /** Declared run time of one task in seconds. */
    runTime: z.number().positive().max(604_800),
    /** Seconds from acceptance by which all tasks should have ended. */
    deadline: z.number().positive().max(2_592_000).optional(),
    /** Whether a task may run again after an attempt whose outcome is unknown. */
    idempotent: z.boolean().default(true),
    /** Passed to each task unchanged. */
    payload: z.string().max(16_384).default(""),
    /** Failure domains that may run the job. Default: all. */
    failureDomains: z.array(z.string()).min(1).optional(),
}).transform((job, context) => {
    const tasks = job.tasks ?? job.payloads?.length;
    if (tasks === undefined || job.payloads !== undefined && job.payloads.length !== tasks) {
        context.addIssue({
            code: "custom",
            path: ["tasks"],
            message: "write the number of tasks, or list them as payloads; where both stand they must agree",
        });
        return z.NEVER;
    }
    return { ...job, tasks };
});

/** A job as a caller submits it. */
export type JobSpecification = z.infer<typeof jobSpecification>;

/** Stored row of an accepted job. */
export interface Job {
    readonly id: JobId;
    readonly specification: JobSpecification;
    /** Milliseconds since the Unix epoch, by the clock of the host that accepted the job. */
    readonly acceptedAt: number;
    /** Cell of each chunk, by chunk number. */
    readonly chunks: readonly CellId[];
    readonly cancelled: boolean;
}
