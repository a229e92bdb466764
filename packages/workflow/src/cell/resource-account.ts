import type { Step } from "../model/step.js";
import type { Capacity } from "../model/worker-entry.js";

/** Resources of one worker: what it holds and what runs there take. What is being stopped still counts. */
export interface ResourceAccount {
    readonly add: (step: Step) => void;
    readonly remove: (step: Step) => void;
    /** Whether one more task of the step fits. */
    readonly fits: (step: Step) => boolean;
    /** Thousandths of cores not taken by tasks that reserve them. */
    readonly freeCpu: () => number;
    /** As `freeCpu`, less what tasks that use spare processor time would like to have. */
    readonly spareCpu: () => number;
    /** MB that no task reserves. */
    readonly freeMemory: () => number;
    readonly freeAccelerators: () => number;
    readonly capacity: () => Capacity;
    readonly setCapacity: (capacity: Capacity) => void;
}

/** Creates the account of a worker that runs nothing. */
export const createResourceAccount = (initial: Capacity): ResourceAccount => {
    let capacity = initial;
    let cpu = 0;
    let wantedSpare = 0;
    let memory = 0;
    let accelerators = 0;
    const change = (step: Step, sign: 1 | -1): void => {
        cpu += step.usesSpareCpu ? 0 : sign * step.cpu;
        wantedSpare += step.usesSpareCpu ? sign * step.cpu : 0;
        memory += sign * step.memory;
        accelerators += sign * step.accelerators;
    };
    return {
        add: step => {
            change(step, 1);
        },
        remove: step => {
            change(step, -1);
        },
        fits: step =>
            (step.usesSpareCpu || cpu + step.cpu <= capacity.cpu)
            && memory + step.memory <= capacity.memory
            && accelerators + step.accelerators <= capacity.accelerators,
        freeCpu: () => capacity.cpu - cpu,
        spareCpu: () => capacity.cpu - cpu - wantedSpare,
        freeMemory: () => capacity.memory - memory,
        freeAccelerators: () => capacity.accelerators - accelerators,
        capacity: () => capacity,
        setCapacity: next => {
            capacity = next;
        },
    };
};
