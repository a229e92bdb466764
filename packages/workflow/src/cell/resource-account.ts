import type { Step } from "../model/step.js";
import type { Capacity } from "../model/worker-entry.js";

/** Capacity of one worker and what its runs take of it; a run counts until it has stopped. */
export interface ResourceAccount {
    /** Takes the resources of one task of the step. */
    readonly add: (step: Step) => void;
    /** Gives back the resources of one task of the step. */
    readonly remove: (step: Step) => void;
    /** Whether one more task of the step fits. */
    readonly fits: (step: Step) => boolean;
    /** Millicores that no task reserves; spare-CPU tasks reserve none. */
    readonly freeCpu: () => number;
    /** `freeCpu` less what the spare-CPU tasks on the worker request; may be negative. */
    readonly spareCpu: () => number;
    /** MB that no task reserves. */
    readonly freeMemory: () => number;
    readonly freeAccelerators: () => number;
    readonly capacity: () => Capacity;
    readonly setCapacity: (capacity: Capacity) => void;
}

/** Creates the account of a worker without runs. */
export const createResourceAccount = (initial: Capacity): ResourceAccount => {
    let capacity = initial;
    let reservedCpu = 0;
    let wantedSpareCpu = 0;
    let reservedMemory = 0;
    let reservedAccelerators = 0;
    const change = (step: Step, sign: 1 | -1): void => {
        reservedCpu += step.usesSpareCpu ? 0 : sign * step.cpu;
        wantedSpareCpu += step.usesSpareCpu ? sign * step.cpu : 0;
        reservedMemory += sign * step.memory;
        reservedAccelerators += sign * step.accelerators;
    };
    return {
        add: step => {
            change(step, 1);
        },
        remove: step => {
            change(step, -1);
        },
        fits: step =>
            (step.usesSpareCpu || reservedCpu + step.cpu <= capacity.cpu)
            && reservedMemory + step.memory <= capacity.memory
            && reservedAccelerators + step.accelerators <= capacity.accelerators,
        freeCpu: () => capacity.cpu - reservedCpu,
        spareCpu: () => capacity.cpu - reservedCpu - wantedSpareCpu,
        freeMemory: () => capacity.memory - reservedMemory,
        freeAccelerators: () => capacity.accelerators - reservedAccelerators,
        capacity: () => capacity,
        setCapacity: next => {
            capacity = next;
        },
    };
};
