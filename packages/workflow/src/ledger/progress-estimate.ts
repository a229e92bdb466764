import type { Workflow } from "../model/workflow.js";
import type { Stage } from "./stage.js";
import type { WorkflowProgress } from "./workflow-progress.js";

/** Upper bounds of the bytes that parts of a workflow's progress row take, but for checkpoints, which may be left out. */
export interface ProgressEstimate {
    /** The row of a workflow without progress. */
    readonly emptyBytes: number;
    /** A range of occurrences in which a step is done. */
    readonly finishedRangeBytes: number;
    /** A task that another cell runs, or the first one of a cell. */
    readonly transferBytes: number;
    /** What is known of a stage that is not done, and what the ends of its present runs may add. */
    readonly stageBytes: (stage: Stage) => number;
    /** What a further run in the stage may add; `isRetry`: whether its task has failed before. */
    readonly endBytes: (stage: Stage, isRetry: boolean) => number;
    /** The entry of a task with the numbers of its failed runs, or with its crashes and their weights. */
    readonly failedTaskBytes: (runs: Iterable<number | readonly [run: number, weight: number]>) => number;
}

/** Number of a stage's tasks that have a run, or a gang counted as one. */
export const countRuns = ({ step, record }: Stage): number => {
    const running = step.count - record.done.size - record.waiting.size - record.transferred.size;
    return step.isGang ? Math.min(1, running) : running;
};

/** Bytes of a value in a list, with the comma after it. */
const bytesOf = (value: unknown): number => JSON.stringify(value).length + 1;
const countDigits = (number: number): number => String(number).length;

const emptyProgress: WorkflowProgress = {
    isCancelled: false,
    isFailed: false,
    hasStarted: false,
    steps: [],
    finished: [],
    transfers: [],
};
const emptyBytes = bytesOf(emptyProgress);
/** The number of a run; numbers rise by 4,096 with each holder of a cell, so that twelve digits last for 240 million. */
const runBytes = bytesOf(999_999_999_999);
const emptyStage = { done: [], doneRanges: [], failures: [], crashes: [], checkpoints: [], lastRuns: [] };
/** Bytes of entries without the digits of the numbers in them, which are 0 here. */
const stageFrameBytes = bytesOf({ occurrence: 0, step: 0, ...emptyStage }) - 2;
const finishedFrameBytes = bytesOf([0, 0, 0]) - 3;
const rangeFrameBytes = bytesOf([0, 0]) - 2;
const taskFrameBytes = bytesOf([0, []]) - 1;
const transferFrameBytes = bytesOf({ cell: "", tasks: [] })
    + bytesOf({ occurrence: 0, step: 0, index: 0, lastRun: 999_999_999_999 }) - 3;

/** Creates the estimate for a workflow with so many occurrences. */
export const createProgressEstimate = ({ steps }: Workflow, occurrences: number): ProgressEstimate => {
    const occurrenceDigits = countDigits(occurrences);
    const stepDigits = countDigits(steps.length);
    const indexDigits = countDigits(steps.reduce((most, { count }) => Math.max(most, count), 0));
    const stageEntryBytes = stageFrameBytes + occurrenceDigits + stepDigits;
    const doneRangeBytes = rangeFrameBytes + 2 * indexDigits;
    const failedTaskFrameBytes = taskFrameBytes + indexDigits;
    const lastRunBytes = rangeFrameBytes + indexDigits + runBytes;
    const endOfRunBytes = Math.max(doneRangeBytes, failedTaskFrameBytes + runBytes);
    const hasEntry = ({ step: { isLasting }, record }: Stage, runs: number): boolean =>
        runs > 0 && !isLasting
        || record.done.size + record.failures.size + record.crashes.size + record.lastRuns.size > 0;
    return {
        emptyBytes,
        finishedRangeBytes: finishedFrameBytes + stepDigits + 2 * occurrenceDigits,
        transferBytes: transferFrameBytes + occurrenceDigits + stepDigits + indexDigits,
        stageBytes: stage => {
            const { record, step: { isLasting } } = stage;
            const runs = countRuns(stage);
            return record.done.size < stage.step.count && hasEntry(stage, runs)
                ? stageEntryBytes
                    + record.doneRanges * doneRangeBytes
                    + record.failureBytes
                    + record.lastRuns.size * lastRunBytes
                    + (isLasting ? 0 : runs * endOfRunBytes)
                : 0;
        },
        endBytes: (stage, isRetry) =>
            isRetry ? runBytes : endOfRunBytes + (hasEntry(stage, countRuns(stage)) ? 0 : stageEntryBytes),
        failedTaskBytes: runs => [...runs].reduce<number>((bytes, run) => bytes + bytesOf(run), failedTaskFrameBytes),
    };
};
