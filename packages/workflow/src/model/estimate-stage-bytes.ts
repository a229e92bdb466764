import type { Step } from "./step.js";

/** Bytes of the record of a step in one occurrence and of its candidate in a pass of placement. */
const recordBytes = 4_096;
/** Bytes of a task in the sets of its step. */
const taskBytes = 128;

/** Estimates the bytes of memory that a step takes in one occurrence. */
export const estimateStageBytes = ({ count }: Step): number => recordBytes + count * taskBytes;
