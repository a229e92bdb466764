import type { TaskName } from "../model/task-name.js";

/** Numbers the runs of tasks, rising over holders without a write for each start. */
export interface RunNumbers {
    readonly next: (task: TaskName) => number;
    /** The number is in use. */
    readonly markUsed: (task: TaskName, number: number) => void;
    /** The run has ended, or can't count any more. */
    readonly close: (task: TaskName, number: number) => void;
    readonly isClosed: (task: TaskName, number: number) => boolean;
}

/** Run numbers that one holder may give a task; a later holder's numbers are higher without being stored. */
const numbersPerEpoch = 4_096;

/** Creates the numbers of a holder. */
export const createRunNumbers = (epoch: number): RunNumbers => {
    const closed = new Map<TaskName, number>();
    const used = new Map<TaskName, number>();
    const raise = (numbers: Map<TaskName, number>, task: TaskName, number: number): void => {
        numbers.set(task, Math.max(number, numbers.get(task) ?? 0));
    };
    return {
        next: task => {
            const first = (epoch - 1) * numbersPerEpoch + 1;
            return Math.max(first, (used.get(task) ?? 0) + 1, (closed.get(task) ?? 0) + 1);
        },
        markUsed: (task, number) => {
            raise(used, task, number);
        },
        close: (task, number) => {
            raise(closed, task, number);
        },
        isClosed: (task, number) => number <= (closed.get(task) ?? 0),
    };
};
