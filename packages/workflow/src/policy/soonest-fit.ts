import type { WorkerId } from "@jayfront/world";

import type { Step } from "../model/step.js";

/** Resources that a run is expected to release. */
export interface ExpectedRelease {
    /** Milliseconds from now. */
    readonly after: number;
    /** Millicores that the run reserves. */
    readonly cpu: number;
    /** MB. */
    readonly memory: number;
    readonly accelerators: number;
}

/** A worker that may be reserved for a task: nothing else would start there until the task fits. */
export interface ReservableWorker {
    readonly id: WorkerId;
    /** Millicores. */
    readonly freeCpu: number;
    /** MB. */
    readonly freeMemory: number;
    readonly freeAccelerators: number;
    /** In ascending order of `after`. */
    readonly expectedReleases: readonly ExpectedRelease[];
}

/** Milliseconds until a task of the step fits if nothing else starts on the worker; `Infinity` where it never will. */
export const timeUntilFit = (step: Step, worker: ReservableWorker): number => {
    let { freeCpu: cpu, freeMemory: memory, freeAccelerators: accelerators } = worker;
    const fits = (): boolean => cpu >= step.cpu && memory >= step.memory && accelerators >= step.accelerators;
    let after = 0;
    for (const release of worker.expectedReleases) {
        if (fits()) {
            break;
        }
        after = release.after;
        cpu += release.cpu;
        memory += release.memory;
        accelerators += release.accelerators;
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
