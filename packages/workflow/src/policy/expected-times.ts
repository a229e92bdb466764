import type { Queue } from "../model/queue.js";
import type { Step } from "../model/step.js";
import { remainingPaths } from "./remaining-paths.js";

/** Expected times of a workflow, in milliseconds. */
export interface ExpectedTimes {
    /** See `remainingPaths`. */
    readonly paths: readonly number[];
    /** Time from its due time in which the workflow should end. */
    readonly objective: number;
}

/** The expected times of a workflow of the queue; `runTime` as in `remainingPaths`. */
export const expectedTimes = (
    steps: readonly Step[],
    { slackFactor, latencyTarget }: Pick<Queue, "slackFactor" | "latencyTarget">,
    runTime: (step: Step, stepIndex: number) => number,
): ExpectedTimes => {
    const paths = remainingPaths(steps, runTime);
    return { paths, objective: slackFactor * Math.max(0, ...paths) + latencyTarget };
};
