import type { JobId } from "@jayfront/world";

import type { TaskName, TaskNameParts } from "./task-name.js";

/** Splits the name of a task into its parts; undefined where the name does not have the format of `taskName`. */
export const parseTaskName = (name: TaskName): TaskNameParts | undefined => {
    const [job, ...numbers] = name.split(".");
    const [occurrence, step, index] = numbers.map(Number);
    const isValid = [occurrence, step, index].every(number => Number.isInteger(number) && (number ?? -1) >= 0);
    return job === undefined || numbers.length !== 3 || !isValid
        ? undefined
        : { job: job as JobId, occurrence: occurrence ?? 0, step: step ?? 0, index: index ?? 0 };
};
