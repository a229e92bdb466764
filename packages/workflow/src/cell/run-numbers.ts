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
}

/** Run numbers per task and epoch; those of a later holder are higher without any having been stored. */
const numbersPerEpoch = 4_096;

/** Creates the run numbers of the holder with the given epoch. */
export const createRunNumbers = (epoch: number): RunNumbers => {
    const closed = new Map<TaskName, number>();
    const used = new Map<TaskName, number>();
    const earlierNumbers = (epoch - 1) * numbersPerEpoch;
    const raise = (numbers: Map<TaskName, number>, task: TaskName, number: number): void => {
        numbers.set(task, Math.max(number, numbers.get(task) ?? 0));
    };
    return {
        next: task => Math.max(earlierNumbers + 1, (used.get(task) ?? 0) + 1, (closed.get(task) ?? 0) + 1),
        markUsed: (task, number) => {
            raise(used, task, number);
        },
        reserve: (task, number) => {
            raise(used, task, number + earlierNumbers);
        },
        close: (task, number) => {
            raise(closed, task, number);
        },
        isClosed: (task, number) => number <= (closed.get(task) ?? 0),
    };
};
