import type { TaskOutcome, TaskStart } from "@jayfront/world";

/** A running attempt of a task on a worker machine. */
export interface TaskRun {
    readonly start: TaskStart;
    /** Monotonic time in milliseconds. */
    readonly startedAt: number;
    /** Fraction of full speed, from 0 to 1. */
    readonly level: () => number;
    readonly setLevel: (level: number) => void;
    /** Seconds of completed work, including that of earlier attempts up to the checkpoint. */
    readonly progress: () => number;
    /** Ends the run without calling `onEnd`. */
    readonly halt: () => void;
}

/** Options of {@link createTaskRun}. */
export interface TaskRunOptions {
    readonly start: TaskStart;
    /** Seconds of work at which the run ends. */
    readonly work: number;
    /** Seconds of work that were completed at the checkpoint from which the run resumes; 0 without checkpoint. */
    readonly initialProgress: number;
    /** Outcome of the run when its work is completed. */
    readonly outcome: TaskOutcome;
    readonly onEnd: (outcome: TaskOutcome) => void;
}

/** Starts a run, whose work progresses with time at the current level. */
export const createTaskRun = ({ start, work, initialProgress, outcome, onEnd }: TaskRunOptions): TaskRun => {
    const startedAt = performance.now();
    let level = 1;
    let updatedAt = startedAt;
    let progress = initialProgress;
    let timer: NodeJS.Timeout | undefined;
    const updateProgress = (): void => {
        const now = performance.now();
        progress += (now - updatedAt) / 1_000 * level;
        updatedAt = now;
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
            updateProgress();
            level = next;
            schedule();
        },
        progress: () => {
            updateProgress();
            return progress;
        },
        halt: () => {
            clearTimeout(timer);
        },
    };
};
