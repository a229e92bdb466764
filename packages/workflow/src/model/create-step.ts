import type { Step } from "./step.js";

/** A step with documented defaults: one task of one core and 100 MB that is expected to take half a second. */
export const createStep = (changes: Partial<Step> = {}): Step => ({
    count: 1,
    cpu: 1_000,
    memory: 100,
    accelerators: 0,
    expectedRunTime: 500,
    after: [],
    isCheckpointing: false,
    isGang: false,
    needsOneRack: false,
    isSpeculative: false,
    isLasting: false,
    usesSpareCpu: false,
    ...changes,
});
