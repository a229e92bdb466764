import type { IndexRanges } from "../index-ranges.js";

/** Number of indices in `ranges`. */
export const countIndices = (ranges: IndexRanges): number => ranges.reduce((sum, [from, to]) => sum + to - from, 0);
