import type { Step } from "../model/step.js";
import type { FreeCapacity } from "./free-capacity.js";

/** Number of tasks of the step that fit on a worker with this free capacity and no task of the step. */
export const taskCountOn = ({ cpu, memory }: FreeCapacity, step: Step): number =>
    Math.min(
        step.perWorkerLimit ?? Infinity,
        Math.floor(cpu / Math.max(1, step.cpu)),
        Math.floor(memory / Math.max(1, step.memory)),
    );
