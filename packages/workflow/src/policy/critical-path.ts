import type { Step } from "../model/step.js";

/**
 * Milliseconds of the longest chain of dependent steps. `runTime` gives the run time of one task of a step;
 * long-running steps count as 0.
 */
export const criticalPath = (
    steps: readonly Step[],
    runTime: (step: Step, stepIndex: number) => number,
): number => {
    const ends: number[] = [];
    steps.forEach((step, stepIndex) => {
        const start = Math.max(0, ...step.after.map(earlier => ends[earlier] ?? 0));
        ends.push(start + (step.isLasting ? 0 : runTime(step, stepIndex)));
    });
    return Math.max(0, ...ends);
};
