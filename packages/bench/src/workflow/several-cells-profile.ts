import type { WeightedFault } from "./several-cells-faults.js";
import { severalCellsFaults } from "./several-cells-faults.js";
import type { SubmissionMix } from "./submission-mix.js";
import { shortLivedMix } from "./submission-mix.js";

/** The workers, the load and the faults of a random day with several cells. */
export interface SeveralCellsProfile {
    /** Workers in each failure domain. */
    readonly workersPerDomain: number;
    /** Tasks that a worker can run at the same time. */
    readonly tasksPerWorker: number;
    readonly mix: SubmissionMix;
    /** Probability that a workflow is submitted at each of the regular times. */
    readonly submissionProbability: number;
    /** Share of all places for tasks up to which long-running workflows are submitted at once and all the time. */
    readonly longRunningLoad: number;
    /** Milliseconds from the first submission until faults are injected. */
    readonly fillTime: number;
    /** Probability that a fault is injected along with a submission. */
    readonly faultProbability: number;
    readonly faults: readonly WeightedFault[];
    /** Milliseconds without new faults until all long-running workflows are cancelled. */
    readonly quietTime: number;
}

/** Short-lived work in cells with ample room, and frequent faults. */
export const shortLivedProfile: SeveralCellsProfile = {
    workersPerDomain: 3,
    tasksPerWorker: 16,
    mix: shortLivedMix,
    submissionProbability: 1,
    longRunningLoad: 0,
    fillTime: 0,
    faultProbability: 0.4,
    faults: severalCellsFaults,
    quietTime: 0,
};
