/**
 * A serving task: one with a target for its tail latency (`Step.tailTarget`). It keeps the target while its relative
 * speed, as defined by `InterferenceModel`, is above 1.
 */
export interface ServingTask {
    readonly image: string;
    /** Relative speed without the spare-CPU tasks whose effect is to be computed. */
    readonly ownSpeed: number;
}

/** A task that uses only CPU time left over by others (`Step.usesSpareCpu`). */
export interface SpareCpuTask {
    readonly image: string;
    /** Share of the worker's capacity that it takes at full pace. */
    readonly share: number;
}

/** Loss of relative speed of the serving image per full worker's CPU capacity taken by the spare-CPU image. */
export type Interference = (servingImage: string, spareImage: string) => number;

/** Budget below which costs are not distinguished any further. */
const minBudget = 0.05;
/** Relative speed kept above the target; reports lag by half a second and orders take a tenth. */
const speedMargin = 0.25;
/** Loss of speed below which a spare-CPU task is not slowed: reports can't show such a small loss. */
const negligibleLoss = 0.02;

/** Share of the scarcest budget that the task would use up if it took a full worker's CPU capacity. */
const costOf = (
    task: SpareCpuTask,
    servingTasks: readonly ServingTask[],
    budgets: readonly number[],
    interference: Interference,
): number =>
    Math.max(
        0,
        ...servingTasks.map((serving, index) =>
            interference(serving.image, task.image) / Math.max(minBudget, budgets[index] ?? 0)
        ),
    );

/**
 * Paces (0 to 1) of the spare-CPU tasks at which all serving tasks keep their targets, in the order of `tasks`. Each
 * serving task has a budget, the speed it can lose. Tasks whose work costs the least of the budgets come first; at
 * equal cost, the earlier in `tasks`.
 */
export const planPaces = (
    servingTasks: readonly ServingTask[],
    tasks: readonly SpareCpuTask[],
    interference: Interference,
): readonly number[] => {
    const budgets = servingTasks.map(serving => serving.ownSpeed - (1 + speedMargin));
    const costs = tasks.map(task => costOf(task, servingTasks, budgets, interference));
    const order = [...tasks.keys()].sort((left, right) => (costs[left] ?? 0) - (costs[right] ?? 0) || left - right);
    const remaining = [...budgets];
    const paces = tasks.map(() => 1);
    for (const position of order) {
        const task = tasks[position];
        if (task === undefined) {
            continue;
        }
        const losses = servingTasks.map(serving => interference(serving.image, task.image) * task.share);
        const pace = Math.min(
            1,
            ...losses.map((loss, index) => loss < negligibleLoss ? 1 : Math.max(0, remaining[index] ?? 0) / loss),
        );
        paces[position] = pace;
        losses.forEach((loss, index) => {
            remaining[index] = (remaining[index] ?? 0) - loss * pace;
        });
    }
    return paces;
};
