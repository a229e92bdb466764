import type { Branded } from "./branded.js";
import type { JobId } from "./job-id.js";

/** Identifies a task of a job: `<job>/<index>`. */
export type TaskId = Branded<string, "TaskId">;

/** Id of the task at `index` (from 0) of `job`. */
export const taskId = (job: JobId, index: number): TaskId => `${job}/${String(index)}` as TaskId;
