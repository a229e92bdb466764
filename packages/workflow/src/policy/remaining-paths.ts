import type { Step } from "../model/step.js";

/**
 * Milliseconds of the longest chain of dependent steps that begins with each step, that step included. `runTime` gives the
 * run time of one task of a step; long-running steps count as 0.
 */
export const remainingPaths = (
    steps: readonly Step[],
    runTime: (step: Step, stepIndex: number) => number,
): readonly number[] => {
    /** The longest chain after each step. */
    const rests = steps.map(() => 0);
    const paths: number[] = [];
    // A step depends on earlier ones only, so that the paths of all its successors are known.
    for (const [stepIndex, step] of [...steps.entries()].reverse()) {
        const path = (step.isLasting ? 0 : runTime(step, stepIndex)) + (rests[stepIndex] ?? 0);
        paths[stepIndex] = path;
        for (const earlier of step.after) {
            rests[earlier] = Math.max(rests[earlier] ?? 0, path);
        }
    }
    return paths;
};
