import type { Step } from "../model/step.js";

/** Milliseconds from the start of step `number` to the end of the longest chain of steps that begins with it. */
export const remainingPath = (
    steps: readonly Step[],
    number: number,
    runTime: (step: Step, number: number) => number,
): number => {
    const step = steps[number];
    if (step === undefined) {
        return 0;
    }
    const followers = steps.flatMap((later, index) => later.after.includes(number) ? [index] : []);
    const rest = Math.max(0, ...followers.map(follower => remainingPath(steps, follower, runTime)));
    return (step.isLasting ? 0 : runTime(step, number)) + rest;
};
