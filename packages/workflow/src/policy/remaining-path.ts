import type { Step } from "../model/step.js";

/**
 * Milliseconds of the longest chain of dependent steps that begins with step `stepIndex`, that step included; 0 where
 * there is no such step. `runTime` gives the run time of one task of a step; long-running steps count as 0.
 */
export const remainingPath = (
    steps: readonly Step[],
    stepIndex: number,
    runTime: (step: Step, stepIndex: number) => number,
): number => {
    const step = steps[stepIndex];
    if (step === undefined) {
        return 0;
    }
    const successors = steps.flatMap((later, index) => later.after.includes(stepIndex) ? [index] : []);
    const rest = Math.max(0, ...successors.map(successor => remainingPath(steps, successor, runTime)));
    return (step.isLasting ? 0 : runTime(step, stepIndex)) + rest;
};
