import type { Fence } from "../fence.js";

/** Negative, zero or positive as `left` is older than, the same as or newer than `right`. */
export const compareFences = (left: Fence, right: Fence): number =>
    left.epoch === right.epoch ? left.term - right.term : left.epoch - right.epoch;
