import type { JobId } from "@jayfront/world";

import { jobOfTask } from "../model/job-of-task.js";
import type { TaskName } from "../model/task-name.js";

/** Assigns numbers to the runs of tasks. Numbers rise from one holder of the cell to the next without being stored. */
export interface RunNumbers {
    /** Number for the next run of the task; higher than all that are in use or closed. */
    readonly next: (task: TaskName) => number;
    /** Records that a run has the number, so that later runs of the task get a higher one. */
    readonly markUsed: (task: TaskName, number: number) => void;
    /**
     * Makes all later runs of the task get numbers above `number`, the last one in another cell, and above those that
     * earlier holders of this cell assigned after they had reserved the same number.
     */
    readonly reserve: (task: TaskName, number: number) => void;
    /** Closes the number and all lower ones of the task: the run has ended, or its result is no longer accepted. */
    readonly close: (task: TaskName, number: number) => void;
    readonly isClosed: (task: TaskName, number: number) => boolean;
    /** Forgets the numbers of a task that never runs again. */
    readonly forget: (task: TaskName) => void;
    /** Forgets the numbers of all tasks of a workflow that never run again. */
    readonly forgetWorkflow: (job: JobId) => void;
}

/** Highest numbers of a task that were used and closed; 0 if none was. */
interface TaskNumbers {
    used: number;
    closed: number;
}

/** Run numbers per task and epoch; those of a later holder are higher without any having been stored. */
const numbersPerEpoch = 4_096;

/** Creates the run numbers of the holder with the given epoch. */
export const createRunNumbers = (epoch: number): RunNumbers => {
    const workflows = new Map<JobId, Map<TaskName, TaskNumbers>>();
    const earlierNumbers = (epoch - 1) * numbersPerEpoch;
    const find = (task: TaskName): TaskNumbers | undefined => workflows.get(jobOfTask(task))?.get(task);
    const raise = (task: TaskName, kind: keyof TaskNumbers, number: number): void => {
        const job = jobOfTask(task);
        const tasks = workflows.get(job) ?? new Map<TaskName, TaskNumbers>();
        workflows.set(job, tasks);
        const numbers = tasks.get(task) ?? { used: 0, closed: 0 };
        tasks.set(task, numbers);
        numbers[kind] = Math.max(number, numbers[kind]);
    };
    return {
        next: task => {
            const { used, closed } = find(task) ?? { used: 0, closed: 0 };
            return Math.max(earlierNumbers, used, closed) + 1;
        },
        markUsed: (task, number) => {
            raise(task, "used", number);
        },
        reserve: (task, number) => {
            raise(task, "used", number + earlierNumbers);
        },
        close: (task, number) => {
            raise(task, "closed", number);
        },
        isClosed: (task, number) => number <= (find(task)?.closed ?? 0),
        forget: task => {
            const job = jobOfTask(task);
            const tasks = workflows.get(job);
            tasks?.delete(task);
            if (tasks?.size === 0) {
                workflows.delete(job);
            }
        },
        forgetWorkflow: job => {
            workflows.delete(job);
        },
    };
};
