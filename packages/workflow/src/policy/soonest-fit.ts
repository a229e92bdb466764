import type { WorkerId } from "@jayfront/world";

import type { Step } from "../model/step.js";

/** Room that a run is expected to give back. */
export interface ExpectedRelease {
    /** Milliseconds from now. */
    readonly after: number;
    /** Thousandths of cores that it reserves. */
    readonly cpu: number;
    /** MB. */
    readonly memory: number;
    readonly accelerators: number;
}

/** A worker on which nothing else would start until a task has its room. */
export interface ReservableWorker {
    readonly id: WorkerId;
    readonly freeCpu: number;
    readonly freeMemory: number;
    readonly freeAccelerators: number;
    /** The soonest first. */
    readonly expectedReleases: readonly ExpectedRelease[];
}

/** Milliseconds until a task of the step fits if nothing else starts on the worker; `Infinity` where it never will. */
export const timeUntilFit = (step: Step, worker: ReservableWorker): number => {
    let { freeCpu: cpu, freeMemory: memory, freeAccelerators: accelerators } = worker;
    const fits = (): boolean => cpu >= step.cpu && memory >= step.memory && accelerators >= step.accelerators;
    let after = 0;
    for (const end of worker.expectedReleases) {
        if (fits()) {
            break;
        }
        after = end.after;
        cpu += end.cpu;
        memory += end.memory;
        accelerators += end.accelerators;
    }
    return fits() ? after : Infinity;
};

/** The worker on which a task of the step fits soonest if nothing else starts there; undefined where it never will. */
export const soonestFit = (step: Step, workers: Iterable<ReservableWorker>): ReservableWorker | undefined => {
    let best: ReservableWorker | undefined;
    let soonest = Infinity;
    for (const worker of workers) {
        const after = timeUntilFit(step, worker);
        if (after < soonest) {
            best = worker;
            soonest = after;
        }
    }
    return best;
};
