import type { TaskNameParts } from "../model/task-name.js";

/** Position of a task in its workflow. */
export type TaskPosition = Omit<TaskNameParts, "job">;
