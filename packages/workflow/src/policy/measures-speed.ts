import type { Step } from "../model/step.js";

/** Whether a run of the step on a worker of that rack depends on nothing but its task and the speed of the worker. */
export const measuresSpeed = (step: Step, rack: string | undefined): boolean =>
    !step.isLasting
    && !step.isGang
    && !step.usesSpareCpu
    && (step.preferredRack === undefined || step.preferredRack === rack);
