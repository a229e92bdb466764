import type { JobId } from "@jayfront/world";

import type { TaskName } from "./task-name.js";

/** The part of a task's name that names its workflow, if the name is valid; without the cost of parsing all of it. */
export const jobOfTask = (task: TaskName): JobId => task.slice(0, Math.max(0, task.indexOf("."))) as JobId;
