/** A serving task whose tail has to stay below its target, that is, whose relative speed above 1 (`PressureModel`). */
export interface ServingNeed {
    readonly image: string;
    /** Speed beside nobody. */
    readonly ownSpeed: number;
}

/** A task on spare processor time. */
export interface SpareTask {
    readonly image: string;
    /** Share of the worker's capacity that it takes at full pace. */
    readonly share: number;
}

/** Loss of speed of a serving image for each whole worker's worth of another. */
export type Pressure = (servingImage: string, spareImage: string) => number;

/** Reserve above the speed at the target; reports lag half a second and orders take a tenth. */
const reserve = 0.25;
/** Share of all pressure on a serving task below which a neighbour is left alone. */
const harmlessShare = 0.08;

/** Share of speed that `task` may have so that `need` is met, given the whole pressure on it. */
const paceFor = (need: ServingNeed, task: SpareTask, all: number, pressure: Pressure): number => {
    const budget = need.ownSpeed - (1 + reserve);
    const own = pressure(need.image, task.image) * task.share;
    if (all <= budget || own < all * harmlessShare) {
        return 1;
    }
    return Math.max(0, budget / all);
};

/** Paces (0 to 1) of the tasks on spare processor time at which all serving tasks keep their targets. */
export const planPaces = (
    needs: readonly ServingNeed[],
    tasks: readonly SpareTask[],
    pressure: Pressure,
): readonly number[] => {
    const totals = needs.map(need =>
        tasks.reduce((sum, task) => sum + pressure(need.image, task.image) * task.share, 0)
    );
    return tasks.map(task =>
        Math.min(1, ...needs.map((need, index) => paceFor(need, task, totals[index] ?? 0, pressure)))
    );
};
