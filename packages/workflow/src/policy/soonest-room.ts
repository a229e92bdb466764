import type { WorkerId } from "@jayfront/world";

import type { Step } from "../model/step.js";

/** Room that a run is expected to give back. */
export interface ExpectedEnd {
    /** Milliseconds from now. */
    readonly after: number;
    /** Thousandths of cores that it reserves. */
    readonly cpu: number;
    /** MB. */
    readonly memory: number;
}

/** A worker on which nothing else would start until a task has its room. */
export interface FillingWorker {
    readonly id: WorkerId;
    readonly freeCpu: number;
    readonly freeMemory: number;
    readonly ends: readonly ExpectedEnd[];
}

const fitsAfter = (step: Step, { freeCpu, freeMemory, ends }: FillingWorker): number => {
    let cpu = freeCpu;
    let memory = freeMemory;
    let after = 0;
    for (const end of [...ends].sort((left, right) => left.after - right.after)) {
        if (cpu >= step.cpu && memory >= step.memory) {
            break;
        }
        after = end.after;
        cpu += end.cpu;
        memory += end.memory;
    }
    return cpu >= step.cpu && memory >= step.memory ? after : Infinity;
};

/** The worker on which a task of the step fits soonest if nothing else starts there; undefined where it never will. */
export const soonestRoom = (step: Step, workers: Iterable<FillingWorker>): WorkerId | undefined => {
    let best: WorkerId | undefined;
    let soonest = Infinity;
    for (const worker of workers) {
        const after = fitsAfter(step, worker);
        if (after < soonest) {
            best = worker.id;
            soonest = after;
        }
    }
    return best;
};
