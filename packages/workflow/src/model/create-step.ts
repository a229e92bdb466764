import type { Step } from "./step.js";

/** Creates a step with defaults: one task with 1 core and 100 MB that is expected to take 500 ms. */
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
