import type { Pressure, ServingNeed, SpareTask } from "./pace-plan.js";

/**
 * Smallest slack of any serving task once `added` runs beside it in relative speed: negative where a
 * target would be missed, infinite where there is no serving task.
 */
export const servingSlack = (
    needs: readonly ServingNeed[],
    present: readonly SpareTask[],
    added: SpareTask,
    pressure: Pressure,
): number =>
    Math.min(
        Infinity,
        ...needs.map(need => {
            const loss = [...present, added].reduce(
                (sum, task) => sum + pressure(need.image, task.image) * task.share,
                0,
            );
            return need.ownSpeed - loss - 1;
        }),
    );
