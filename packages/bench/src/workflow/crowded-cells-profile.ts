import { fullCellsFaults } from "./full-cells-faults.js";
import type { SeveralCellsProfile } from "./several-cells-profile.js";
import { shortLivedMix } from "./submission-mix.js";

/** Small cells that short-lived work fills in turn, so that workflows move between them, and that lose workers. */
export const crowdedCellsProfile: SeveralCellsProfile = {
    workersPerDomain: 3,
    tasksPerWorker: 3,
    mix: { ...shortLivedMix, longRunningShare: 0, mostLongRunningTasks: 3 },
    submissionProbability: 1,
    longRunningLoad: 0.4,
    fillTime: 3_000,
    faultProbability: 0.25,
    faults: fullCellsFaults,
    quietTime: 0,
};
