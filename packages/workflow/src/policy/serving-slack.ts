import type { Interference, ServingTask, SpareCpuTask } from "./plan-paces.js";

/**
 * Slack of the serving tasks of a worker: the least relative speed above the target, infinite without serving tasks and
 * negative where a target would be missed.
 */
export interface ServingSlack {
    /** Without the added task. */
    readonly before: number;
    /** With the added task. */
    readonly after: number;
}

/** Slack of the serving tasks beside the `present` spare-CPU tasks, without and with `added`. */
export const servingSlack = (
    servingTasks: readonly ServingTask[],
    present: readonly SpareCpuTask[],
    added: SpareCpuTask,
    interference: Interference,
): ServingSlack => {
    let before = Infinity;
    let after = Infinity;
    for (const { image, ownSpeed } of servingTasks) {
        const loss = present.reduce((sum, task) => sum + interference(image, task.image) * task.share, 0);
        const slack = ownSpeed - 1 - loss;
        before = Math.min(before, slack);
        after = Math.min(after, slack - interference(image, added.image) * added.share);
    }
    return { before, after };
};
