import type { Pressure, ServingNeed, SpareTask } from "./pace-plan.js";

/** A serving task beside what runs on its worker now. */
export interface PressedTask {
    readonly image: string;
    /** Relative speed that is left above the target; negative where the target would be missed. */
    readonly slack: number;
}

/** What is left to serving tasks beside the tasks that are present. */
export const pressTasks = (
    needs: readonly ServingNeed[],
    present: readonly SpareTask[],
    pressure: Pressure,
): readonly PressedTask[] =>
    needs.map(need => {
        const loss = present.reduce((sum, task) => sum + pressure(need.image, task.image) * task.share, 0);
        return { image: need.image, slack: need.ownSpeed - loss - 1 };
    });

/**
 * Smallest slack of any serving task once `added` runs beside it: negative where a target would be missed, infinite
 * where there is no serving task.
 */
export const servingSlack = (tasks: readonly PressedTask[], added: SpareTask, pressure: Pressure): number => {
    let least = Infinity;
    for (const { image, slack } of tasks) {
        least = Math.min(least, slack - pressure(image, added.image) * added.share);
    }
    return least;
};
