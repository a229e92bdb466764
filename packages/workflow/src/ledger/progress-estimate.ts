import type { Workflow } from "../model/workflow.js";
import { crashWeights } from "./crash-weights.js";
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
    /** What a further run in the stage may add. */
    readonly endBytes: (stage: Stage) => number;
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
const runBytes = bytesOf(Number.MAX_SAFE_INTEGER);
const crashBytes = Math.max(...Object.values(crashWeights).map(weight => bytesOf([Number.MAX_SAFE_INTEGER, weight])));
const emptyStage = { done: [], doneRanges: [], failures: [], crashes: [], checkpoints: [], lastRuns: [] };
/** Bytes of entries without the digits of the numbers in them, which are 0 here. */
const stageFrameBytes = bytesOf({ occurrence: 0, step: 0, ...emptyStage }) - 2;
const finishedFrameBytes = bytesOf([0, 0, 0]) - 3;
const rangeFrameBytes = bytesOf([0, 0]) - 2;
const taskFrameBytes = bytesOf([0, []]) - 1;
const transferFrameBytes = bytesOf({ cell: "", tasks: [] })
    + bytesOf({ occurrence: 0, step: 0, index: 0, lastRun: Number.MAX_SAFE_INTEGER }) - 3;

/** Creates the estimate for a workflow with so many occurrences. */
export const createProgressEstimate = ({ steps }: Workflow, occurrences: number): ProgressEstimate => {
    const occurrenceDigits = countDigits(occurrences);
    const stepDigits = countDigits(steps.length);
    const indexDigits = countDigits(steps.reduce((most, { count }) => Math.max(most, count), 0));
    const stageEntryBytes = stageFrameBytes + occurrenceDigits + stepDigits;
    const doneRangeBytes = rangeFrameBytes + 2 * indexDigits;
    const failedTaskBytes = taskFrameBytes + indexDigits;
    const lastRunBytes = rangeFrameBytes + indexDigits + runBytes;
    const endOfRunBytes = Math.max(doneRangeBytes, failedTaskBytes + runBytes);
    const countEntries = (entries: ReadonlyMap<number, { readonly size: number; }>): number => {
        let count = 0;
        for (const { size } of entries.values()) {
            count += size;
        }
        return count;
    };
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
                    + (record.failures.size + record.crashes.size) * failedTaskBytes
                    + countEntries(record.failures) * runBytes
                    + countEntries(record.crashes) * crashBytes
                    + record.lastRuns.size * lastRunBytes
                    + (isLasting ? 0 : runs * endOfRunBytes)
                : 0;
        },
        endBytes: stage => endOfRunBytes + (hasEntry(stage, countRuns(stage)) ? 0 : stageEntryBytes),
    };
};
