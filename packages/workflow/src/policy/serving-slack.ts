import type { Interference, ServingTask, SpareCpuTask } from "./plan-paces.js";

/** Relative speeds that serving tasks have left above their targets; negative where a target would be missed. */
export interface ServingSlack {
    /** Without the added task. */
    readonly before: number;
    /** Beside it. */
    readonly after: number;
}

/** Least slack of any serving task without and with `added` beside it, infinite where there is none. */
export const servingSlack = (
    needs: readonly ServingTask[],
    present: readonly SpareCpuTask[],
    added: SpareCpuTask,
    pressure: Interference,
): ServingSlack => {
    let before = Infinity;
    let after = Infinity;
    for (const { image, ownSpeed } of needs) {
        const loss = present.reduce((sum, task) => sum + pressure(image, task.image) * task.share, 0);
        const slack = ownSpeed - 1 - loss;
        before = Math.min(before, slack);
        after = Math.min(after, slack - pressure(image, added.image) * added.share);
    }
    return { before, after };
};
