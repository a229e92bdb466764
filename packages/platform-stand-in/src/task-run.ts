import type { TaskOutcome, TaskStart } from "@jayfront/world";

/** One attempt that runs on a worker machine. */
export interface TaskRun {
    readonly start: TaskStart;
    readonly startedAt: number;
    /** Share of full speed, from 0 to 1. */
    readonly level: () => number;
    readonly setLevel: (level: number) => void;
    /** Seconds of work that are done, those of earlier attempts included. */
    readonly progress: () => number;
    /** Ends the run without calling back. */
    readonly halt: () => void;
}

/** Options of {@link createTaskRun}. */
export interface TaskRunOptions {
    readonly start: TaskStart;
    /** Seconds of work in all. */
    readonly work: number;
    /** Seconds of work that the checkpoint brings along. */
    readonly initialProgress: number;
    /** How the run ends when its work is done. */
    readonly outcome: TaskOutcome;
    readonly onEnd: (outcome: TaskOutcome) => void;
}

/** Starts a run; its work advances with time at the current level. */
export const createTaskRun = ({ start, work, initialProgress: done, outcome, onEnd }: TaskRunOptions): TaskRun => {
    const startedAt = performance.now();
    let level = 1;
    let settledAt = startedAt;
    let progress = done;
    let timer: NodeJS.Timeout | undefined;
    const settle = (): void => {
        const now = performance.now();
        progress += (now - settledAt) / 1_000 * level;
        settledAt = now;
    };
    const schedule = (): void => {
        clearTimeout(timer);
        if (level > 0) {
            timer = setTimeout(() => {
                onEnd(outcome);
            }, Math.max(0, (work - progress) * 1_000 / level));
        }
    };
    schedule();
    return {
        start,
        startedAt,
        level: () => level,
        setLevel: next => {
            settle();
            level = next;
            schedule();
        },
        progress: () => {
            settle();
            return progress;
        },
        halt: () => {
            clearTimeout(timer);
        },
    };
};
