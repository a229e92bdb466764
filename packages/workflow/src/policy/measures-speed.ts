import type { Step } from "../model/step.js";

/**
 * Whether a run of the step on a worker of that rack can tell the speed of the worker. One on spare processor time can only
 * tell that the worker is not slow: others may take its time.
 */
export const measuresSpeed = (step: Step, rack: string | undefined): boolean =>
    !step.isLasting
    && !step.isGang
    && (step.preferredRack === undefined || step.preferredRack === rack);
