import type { CheckpointId, JobId, Resources, TaskId, TaskStart, WorkerId } from "@jayfront/world";

/** A chunk of a job as the scheduler sees it. */
export interface BatchWork {
    /** `<job>/<chunk number>`. */
    readonly key: string;
    readonly job: JobId;
    readonly team: string;
    readonly batchClass: string;
    /** Declared resources of one task. */
    readonly resources: Resources;
    /** Declared run time of one task in seconds. */
    readonly runTime: number;
    /** Monotonic time in milliseconds by which all tasks should have ended; Infinity where there is no deadline. */
    readonly deadline: number;
    /** Passed to each task unchanged. */
    readonly payload: string;
    /** Payload of each task by its index; replaces `payload`. */
    readonly payloads?: readonly string[] | undefined;
}

/** A task that waits for a start. */
export interface PendingTask {
    /** Index of the task in its job, from 0. */
    readonly index: number;
    /** Number of the next attempt, from 1. */
    readonly attempt: number;
    /** Checkpoint that the next attempt resumes from. */
    readonly checkpoint: CheckpointId | undefined;
    /** Number of times that the task was evicted. */
    readonly evictions: number;
    /** Worker of each attempt that failed. */
    readonly failedOn: readonly WorkerId[];
}

/** A start that the scheduler decided on; its resources are already reserved in the worker's account. */
export interface Placement {
    readonly worker: WorkerId;
    readonly work: BatchWork;
    readonly pending: PendingTask;
    readonly task: TaskId;
    /** Command to send to the worker. */
    readonly start: TaskStart;
}
