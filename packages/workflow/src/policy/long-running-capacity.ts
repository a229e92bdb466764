import type { Step } from "../model/step.js";

/** What is free on a worker. */
export interface FreeCapacity {
    /** Thousandths of cores. */
    readonly cpu: number;
    /** MB. */
    readonly memory: number;
}

/** Room of a cell for tasks that last. */
export interface LongRunningCapacity {
    /** Free room of each worker that takes tasks. */
    readonly freeByWorker: readonly FreeCapacity[];
    /** Thousandths of cores of these workers. */
    readonly capacityCpu: number;
    /** Thousandths of cores of tasks that last and wait already. */
    readonly waitingCpu: number;
}

/** Share of a cell's processors that lasting work leaves to what comes and goes, while other cells may have room. */
const passingShare = 0.08;

const placesOn = ({ cpu, memory }: FreeCapacity, step: Step): number =>
    Math.min(
        step.perWorkerLimit ?? Infinity,
        Math.floor(cpu / Math.max(1, step.cpu)),
        Math.floor(memory / Math.max(1, step.memory)),
    );

/**
 * Whether the lasting steps of a workflow find room in a cell beside all that waits there already. Lasting work keeps its
 * room for long, so that a cell in which it waits stays full while others have room; true for all else.
 */
export const hasCapacityForLongRunning = (
    steps: readonly Step[],
    { freeByWorker: free, capacityCpu, waitingCpu }: LongRunningCapacity,
): boolean => {
    const lasting = steps.filter(step => step.isLasting);
    if (lasting.length === 0) {
        return true;
    }
    const demand = lasting.reduce((sum, step) => sum + step.count * step.cpu, 0);
    const freeCpu = free.reduce((sum, room) => sum + room.cpu, 0);
    const hasPlaces = lasting.every(step =>
        free.reduce((sum, room) => sum + placesOn(room, step), 0) >= step.count + waitingCpu / Math.max(1, step.cpu)
    );
    return hasPlaces && freeCpu - waitingCpu - demand >= capacityCpu * passingShare;
};
