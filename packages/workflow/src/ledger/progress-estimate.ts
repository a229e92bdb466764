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

/** Largest number that has as many digits as `count`. */
const longest = (count: number): number => 10 ** String(count).length - 1;
/** Bytes of a value in a list, with the comma after it. */
const bytesOf = (value: unknown): number => JSON.stringify(value).length + 1;

/** Creates the estimate for a workflow with so many occurrences. */
export const createProgressEstimate = ({ steps }: Workflow, occurrences: number): ProgressEstimate => {
    const occurrence = longest(occurrences);
    const step = longest(steps.length);
    const index = longest(steps.reduce((most, { count }) => Math.max(most, count), 0));
    const run = Number.MAX_SAFE_INTEGER;
    const empty: WorkflowProgress = {
        isCancelled: false,
        isFailed: false,
        hasStarted: false,
        steps: [],
        finished: [],
        transfers: [],
    };
    const stageEntryBytes = bytesOf({
        occurrence,
        step,
        done: [],
        doneRanges: [],
        failures: [],
        crashes: [],
        checkpoints: [],
        lastRuns: [],
    });
    const doneRangeBytes = bytesOf([index, index]);
    const failedTaskBytes = bytesOf([index, []]);
    const failedRunBytes = bytesOf(run);
    const crashBytes = Math.max(...Object.values(crashWeights).map(weight => bytesOf([run, weight])));
    const lastRunBytes = bytesOf([index, run]);
    const endOfRunBytes = Math.max(doneRangeBytes, failedTaskBytes + failedRunBytes);
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
        emptyBytes: bytesOf(empty),
        finishedRangeBytes: bytesOf([step, occurrence, occurrence]),
        transferBytes: bytesOf({ cell: "", tasks: [] })
            + bytesOf({ occurrence, step, index, lastRun: run }),
        stageBytes: stage => {
            const { record, step: { isLasting } } = stage;
            const runs = countRuns(stage);
            return record.done.size < stage.step.count && hasEntry(stage, runs)
                ? stageEntryBytes
                    + record.doneRanges * doneRangeBytes
                    + (record.failures.size + record.crashes.size) * failedTaskBytes
                    + countEntries(record.failures) * failedRunBytes
                    + countEntries(record.crashes) * crashBytes
                    + record.lastRuns.size * lastRunBytes
                    + (isLasting ? 0 : runs * endOfRunBytes)
                : 0;
        },
        endBytes: stage => endOfRunBytes + (hasEntry(stage, countRuns(stage)) ? 0 : stageEntryBytes),
    };
};
