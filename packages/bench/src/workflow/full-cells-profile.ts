import { fullCellsFaults } from "./full-cells-faults.js";
import type { SeveralCellsProfile } from "./several-cells-profile.js";

/** Cells that are nearly full of long-running work, which fails and is cancelled, and that lose workers. */
export const fullCellsProfile: SeveralCellsProfile = {
    workersPerDomain: 4,
    tasksPerWorker: 4,
    mix: {
        longRunningShare: 0,
        mostLongRunningTasks: 4,
        mostFailures: 2,
        longestTimeToFailure: 12_000,
        cancelledLongRunningShare: 0.3,
    },
    submissionProbability: 0.12,
    longRunningLoad: 0.78,
    fillTime: 6_000,
    faultProbability: 0.08,
    faults: fullCellsFaults,
    quietTime: 12_000,
};
