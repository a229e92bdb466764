import type { Step } from "../model/step.js";

/** Milliseconds of the longest chain of steps, by the run time of each step's tasks. */
export const criticalPath = (steps: readonly Step[], runTime: (step: Step, number: number) => number): number => {
    const ends: number[] = [];
    steps.forEach((step, number) => {
        const start = Math.max(0, ...step.after.map(earlier => ends[earlier] ?? 0));
        ends.push(start + (step.isLasting ? 0 : runTime(step, number)));
    });
    return Math.max(0, ...ends);
};
