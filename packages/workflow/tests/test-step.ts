import type { Step } from "../src/model/step.js";

/** A plain step of one task, with what a test needs changed. */
export const testStep = (changes: Partial<Step> = {}): Step => ({
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
