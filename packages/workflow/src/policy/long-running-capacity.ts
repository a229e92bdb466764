import type { Step } from "../model/step.js";
import type { FreeCapacity } from "./free-capacity.js";
import { shortLivedShare } from "./short-lived-share.js";
import { taskCountOn } from "./task-count-on.js";

/** Capacity of a cell for long-running tasks. */
export interface LongRunningCapacity {
    /** Free capacity of each usable worker. */
    readonly freeByWorker: readonly FreeCapacity[];
    /** Millicores of these workers in total, used or free. */
    readonly capacityCpu: number;
    /** Millicores of the long-running tasks that already wait in the cell, or will once their workflows are stored. */
    readonly waitingCpu: number;
}

/** Millicores that all tasks of the long-running steps request. */
export const longRunningCpu = (steps: readonly Step[]): number =>
    steps.reduce((sum, step) => sum + (step.isLasting ? step.count * step.cpu : 0), 0);

/**
 * Whether the long-running steps of a workflow fit in a cell beside all that waits there already; true for a workflow
 * without such steps. Long-running tasks hold their room for long, so that a cell in which they wait stays full while
 * other cells may have room.
 */
export const hasCapacityForLongRunning = (
    steps: readonly Step[],
    { freeByWorker, capacityCpu, waitingCpu }: LongRunningCapacity,
): boolean => {
    const lasting = steps.filter(step => step.isLasting);
    if (lasting.length === 0) {
        return true;
    }
    const demand = longRunningCpu(steps);
    const freeCpu = freeByWorker.reduce((sum, free) => sum + free.cpu, 0);
    const fitsOnWorkers = lasting.every(step =>
        freeByWorker.reduce((sum, free) => sum + taskCountOn(free, step), 0)
            >= step.count + waitingCpu / Math.max(1, step.cpu)
    );
    return fitsOnWorkers && freeCpu - waitingCpu - demand >= capacityCpu * shortLivedShare;
};
