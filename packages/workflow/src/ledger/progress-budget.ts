import type { ProgressEstimate } from "./progress-estimate.js";
import { countRuns } from "./progress-estimate.js";
import type { Stage } from "./stage.js";

/**
 * Keeps the progress of a workflow short enough for a row of the store. Ends that don't fit could not be acknowledged, and
 * workers report no later ends, of any workflow, after many that are not.
 */
export interface ProgressBudget {
    /** Applies a change of the stage's record and counts what the progress may need for it. */
    readonly track: (stage: Stage, change: () => void) => void;
    /** Counts further ranges of occurrences in which a step is done, or fewer if negative. */
    readonly addFinishedRanges: (count: number) => void;
    readonly addTransfers: (count: number) => void;
    /** Whether the end of one more run in the stage is sure to fit. */
    readonly hasRoom: (stage: Stage) => boolean;
    /** Whether no short-lived task has a run. */
    readonly isIdle: () => boolean;
}

/** Share of a row for the runs that go on one at a time once no others fit. */
const reservedShare = 0.1;

/** Creates the budget of a workflow without progress. `limitBytes`: the longest value of a row. */
export const createProgressBudget = (estimate: ProgressEstimate, limitBytes: number): ProgressBudget => {
    const availableBytes = limitBytes * (1 - reservedShare);
    let bytes = estimate.emptyBytes;
    let runs = 0;
    const countShortRuns = (stage: Stage): number => stage.step.isLasting ? 0 : countRuns(stage);
    return {
        track: (stage, change) => {
            bytes -= estimate.stageBytes(stage);
            runs -= countShortRuns(stage);
            change();
            bytes += estimate.stageBytes(stage);
            runs += countShortRuns(stage);
        },
        addFinishedRanges: count => {
            bytes += count * estimate.finishedRangeBytes;
        },
        addTransfers: count => {
            bytes += count * estimate.transferBytes;
        },
        hasRoom: stage => bytes + estimate.endBytes(stage) <= availableBytes,
        isIdle: () => runs === 0,
    };
};
