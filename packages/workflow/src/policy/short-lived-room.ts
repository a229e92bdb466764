import type { Step } from "../model/step.js";
import type { FreeCapacity } from "./free-capacity.js";
import { taskCountOn } from "./task-count-on.js";

/** Room of a cell for short-lived tasks that reserve CPU. */
export interface ShortLivedRoom {
    /** Free capacity of each usable worker. */
    readonly freeByWorker: readonly FreeCapacity[];
    /** Millicores of the short-lived tasks that reserve CPU and already wait in the cell for a worker. */
    readonly waitingCpu: number;
}

/** Whether tasks of the step end by themselves and reserve the CPU that they use. */
export const isShortLived = (step: Step): boolean => !step.isLasting && !step.usesSpareCpu;

/** Millicores that the tasks of the short-lived steps request that depend on no other step. */
export const firstShortLivedCpu = (steps: readonly Step[]): number =>
    steps.reduce((sum, step) => sum + (isShortLived(step) && step.after.length === 0 ? step.count * step.cpu : 0), 0);

/**
 * Share of the tasks of the workflow's short-lived steps, each step for itself, for which a cell has room now beside
 * those that wait there already; 1 for a workflow without such steps, negative where not even those fit. Free CPU alone doesn't tell: it can be spread
 * over workers none of which has room for a task.
 */
export const shortLivedRoomShare = (
    steps: readonly Step[],
    { freeByWorker, waitingCpu }: ShortLivedRoom,
): number => {
    const shares = steps.filter(isShortLived).map(step => {
        const places = freeByWorker.reduce((sum, free) => sum + taskCountOn(free, step), 0);
        return (places - waitingCpu / Math.max(1, step.cpu)) / Math.max(1, step.count);
    });
    return Math.min(1, ...shares);
};
