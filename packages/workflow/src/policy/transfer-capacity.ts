import type { Step } from "../model/step.js";
import type { LongRunningCapacity } from "./long-running-capacity.js";
import { shortLivedShare } from "./short-lived-share.js";

/** Capacity of a cell for long-running tasks of one step of another cell. */
export interface TransferCapacity extends Omit<LongRunningCapacity, "freeByWorker"> {
    /** Number of the step's tasks for which each usable worker has room. */
    readonly placesByWorker: readonly number[];
    /** Millicores that no task reserves, on all usable workers. */
    readonly freeCpu: number;
    /** Millicores of tasks that the cell has recently offered to run and that may not have arrived yet. */
    readonly offeredCpu: number;
}

/** Places that tasks which are not preferred leave free, so that a task that loses its run in the cell finds room again. */
const keptPlaces = 1;

/**
 * Number of long-running tasks of a step that a cell can run for another cell. `isPreferred`: whether they may take all
 * room, also that which is otherwise left to short-lived work.
 */
export const transferCapacity = (
    step: Pick<Step, "cpu">,
    { placesByWorker, freeCpu, capacityCpu, waitingCpu, offeredCpu }: TransferCapacity,
    isPreferred: boolean,
): number => {
    const places = placesByWorker.reduce((sum, count) => sum + count, 0) - (isPreferred ? 0 : keptPlaces);
    const keptCpu = isPreferred ? 0 : capacityCpu * shortLivedShare;
    const usableCpu = freeCpu - waitingCpu - offeredCpu - keptCpu;
    const claimedPlaces = Math.ceil((waitingCpu + offeredCpu) / Math.max(1, step.cpu));
    return Math.max(0, Math.min(places - claimedPlaces, Math.floor(usableCpu / Math.max(1, step.cpu))));
};
