import type { JobId } from "@jayfront/world";

import type { Queue } from "./queue.js";
import type { Step } from "./step.js";

/** Times at which all steps of a workflow run anew. */
export interface Schedule {
    /** Number of occurrences. */
    readonly repetitions: number;
    /** Unix milliseconds at which occurrence 0 is due. */
    readonly firstDue: number;
    /** Milliseconds between two occurrences. */
    readonly interval: number;
}

/** A job made of steps, as it was accepted. */
export interface Workflow {
    readonly id: JobId;
    /** The queue as it stood when the workflow was accepted. */
    readonly queue: Queue;
    /** What the workers are told to run; opaque. */
    readonly payload: string;
    readonly steps: readonly Step[];
    readonly schedule?: Schedule;
    /** Unix milliseconds. */
    readonly acceptedAt: number;
}

/** State of a workflow as submitters see it. */
export type WorkflowState = "queued" | "running" | "completed" | "failed" | "cancelled";
