import type { Step } from "../model/step.js";
import type { CellWorker } from "./cell-workers.js";

/** Numbers of tasks of a step that workers can run at the same time. */
export interface Places {
    /** Beside what they run now. */
    readonly free: number;
    /** If they ran nothing else. */
    readonly total: number;
}

/** Number of tasks of the step that fit into `cpu` millicores and `memory` MB on one worker. */
const tasksWithin = ({ cpu: taskCpu, memory: taskMemory, perWorkerLimit }: Step, cpu: number, memory: number): number =>
    Math.min(
        taskCpu > 0 ? Math.floor(Math.max(0, cpu) / taskCpu) : Infinity,
        taskMemory > 0 ? Math.floor(Math.max(0, memory) / taskMemory) : Infinity,
        perWorkerLimit ?? Infinity,
    );

/** Counts the tasks of the step that the workers can run, by processor time, memory and the limit per worker. */
export const placesFor = (step: Step, workers: readonly CellWorker[]): Places => {
    let free = 0;
    let total = 0;
    for (const { resources } of workers) {
        const freeCpu = step.usesSpareCpu ? resources.spareCpu() : resources.freeCpu();
        free += tasksWithin(step, freeCpu, resources.freeMemory());
        total += tasksWithin(step, resources.capacity().cpu, resources.capacity().memory);
    }
    return { free, total };
};
