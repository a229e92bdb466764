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
 * Share of a workflow's long-running tasks for which a cell has room beside all that waits there already; at least 1
 * where they all fit, and for a workflow without such tasks; negative where less than what waits fits. Long-running
 * tasks hold their room for long, so that a cell in which they wait stays full while other cells may have room.
 */
export const longRunningRoomShare = (
    steps: readonly Step[],
    { freeByWorker, capacityCpu, waitingCpu }: LongRunningCapacity,
): number => {
    const lasting = steps.filter(step => step.isLasting);
    const freeCpu = freeByWorker.reduce((sum, free) => sum + free.cpu, 0);
    const taskShares = lasting.flatMap(step => {
        const { perWorkerLimit, ...unlimited } = step;
        const placesOf = (counted: Step): number =>
            freeByWorker.reduce((sum, free) => sum + taskCountOn(free, counted), 0);
        const places = placesOf(unlimited) - waitingCpu / Math.max(1, step.cpu);
        return [places / step.count, perWorkerLimit === undefined ? Infinity : placesOf(step) / step.count];
    });
    const spareCpu = freeCpu - waitingCpu - capacityCpu * shortLivedShare;
    const cpuShare = lasting.length === 0 ? Infinity : spareCpu / Math.max(1, longRunningCpu(steps));
    return Math.min(cpuShare, ...taskShares);
};
