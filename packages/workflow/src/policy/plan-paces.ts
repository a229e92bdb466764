/** A serving task whose tail has to stay below its target, that is, whose relative speed above 1 (`PressureModel`). */
export interface ServingTask {
    readonly image: string;
    /** Speed beside nobody. */
    readonly ownSpeed: number;
}

/** A task on spare processor time. */
export interface SpareCpuTask {
    readonly image: string;
    /** Share of the worker's capacity that it takes at full pace. */
    readonly share: number;
}

/** Loss of speed of a serving image for each whole worker's worth of another. */
export type Interference = (servingImage: string, spareImage: string) => number;

/** Least budget that costs are told from. */
const least = 0.05;
/** Reserve above the speed at the target; reports lag half a second and orders take a tenth. */
const reserve = 0.25;
/** Loss of speed below which a neighbour is left alone: less than reports can show. */
const harmlessLoss = 0.02;

/** Part of all that the serving tasks can spare which a whole worker's worth of the task would take. */
const costOf = (
    task: SpareCpuTask,
    needs: readonly ServingTask[],
    budgets: readonly number[],
    pressure: Interference,
): number =>
    Math.max(0, ...needs.map((need, index) => pressure(need.image, task.image) / Math.max(least, budgets[index] ?? 0)));

/**
 * Paces (0 to 1) of the tasks on spare processor time at which all serving tasks keep their targets. What the serving tasks
 * can spare goes to those first that take least of it for their work; of equal ones, to the first given.
 */
export const planPaces = (
    needs: readonly ServingTask[],
    tasks: readonly SpareCpuTask[],
    pressure: Interference,
): readonly number[] => {
    const budgets = needs.map(need => need.ownSpeed - (1 + reserve));
    const costs = tasks.map(task => costOf(task, needs, budgets, pressure));
    const order = [...tasks.keys()].sort((left, right) => (costs[left] ?? 0) - (costs[right] ?? 0) || left - right);
    const left = [...budgets];
    const paces = tasks.map(() => 1);
    for (const position of order) {
        const task = tasks[position];
        if (task === undefined) {
            continue;
        }
        const losses = needs.map(need => pressure(need.image, task.image) * task.share);
        const pace = Math.min(
            1,
            ...losses.map((loss, index) => loss < harmlessLoss ? 1 : Math.max(0, left[index] ?? 0) / loss),
        );
        paces[position] = pace;
        losses.forEach((loss, index) => {
            left[index] = (left[index] ?? 0) - loss * pace;
        });
    }
    return paces;
};
