import type { FailureDomainId, JobId } from "@jayfront/world";

import type { Queue } from "./queue.js";
import type { Step } from "./step.js";

/** When to repeat all steps of a workflow. */
export interface Schedule {
    /** Number of occurrences, the first one included. */
    readonly repetitions: number;
    /** Unix milliseconds at which occurrence 0 is due. */
    readonly firstDue: number;
    /** Milliseconds between two occurrences. */
    readonly interval: number;
}

/** A job that consists of steps, as it was accepted. */
export interface Workflow {
    readonly id: JobId;
    /** The queue as it stood when the workflow was accepted. */
    readonly queue: Queue;
    /** What the workers run; opaque to the scheduler. */
    readonly payload: string;
    readonly steps: readonly Step[];
    readonly schedule?: Schedule;
    /** Time of acceptance in Unix ms. */
    readonly acceptedAt: number;
    /** Failure domain of the host that got it from its submitter; undefined in rows of earlier releases. */
    readonly origin?: FailureDomainId;
    /** Whether it was accepted though it could no longer be in time; it goes after all work that can. */
    readonly isLate?: boolean;
}

/** State of a workflow as reported to submitters. */
export type WorkflowState = "queued" | "running" | "completed" | "failed" | "cancelled";
