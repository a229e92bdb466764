import type { IndexRanges } from "../index-ranges.js";

/** Whether `ranges` contains `index`. */
export const hasIndex = (ranges: IndexRanges, index: number): boolean =>
    ranges.some(([from, to]) => index >= from && index < to);
