import type { JobId } from "./job-id.js";
import type { TaskId } from "./task-id.js";

/** Splits a task id into its job and index. */
export const parseTaskId = (task: TaskId): { job: JobId; index: number; } => {
    const separator = task.lastIndexOf("/");
    return { job: task.slice(0, separator) as JobId, index: Number(task.slice(separator + 1)) };
};
