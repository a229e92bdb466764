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
    /** Whether the end of one more run in the stage is sure to fit; `isRetry`: whether its task has failed before. */
    readonly hasRoom: (stage: Stage, isRetry: boolean) => boolean;
    /** Whether no short-lived task has a run. */
    readonly isIdle: () => boolean;
}

/** Share of a row up to which tasks start that have not failed; the rest is left for others to run again. */
const firstRunShare = 0.7;
/** As `firstRunShare`, for tasks that have failed; the rest is left for runs that go on one at a time. */
const retryShare = 0.9;

/** Creates the budget of a workflow without progress. `limitBytes`: the longest value of a row. */
export const createProgressBudget = (estimate: ProgressEstimate, limitBytes: number): ProgressBudget => {
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
        hasRoom: (stage, isRetry) =>
            bytes + estimate.endBytes(stage, isRetry) <= limitBytes * (isRetry ? retryShare : firstRunShare),
        isIdle: () => runs === 0,
    };
};
