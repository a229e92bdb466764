import type { JobId } from "@jayfront/world";

import type { TaskName, TaskNameParts } from "./task-name.js";

/** Splits a task's name; undefined where it was not built by `taskName`. */
export const parseTaskName = (name: TaskName): TaskNameParts | undefined => {
    const [job, ...numbers] = name.split(".");
    const [occurrence, step, index] = numbers.map(Number);
    const isWhole = [occurrence, step, index].every(number => Number.isInteger(number) && (number ?? -1) >= 0);
    return job === undefined || numbers.length !== 3 || !isWhole
        ? undefined
        : { job: job as JobId, occurrence: occurrence ?? 0, step: step ?? 0, index: index ?? 0 };
};
