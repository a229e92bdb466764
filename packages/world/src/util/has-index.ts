import type { IndexRanges } from "../index-ranges.js";

/** Whether `ranges` contains `index`. */
export const hasIndex = (ranges: IndexRanges, index: number): boolean => {
    let first = 0;
    let end = ranges.length;
    while (first < end) {
        const middle = (first + end) >>> 1;
        const [from, to] = ranges[middle] ?? [index, index];
        if (index < from) {
            end = middle;
        }
        else if (index >= to) {
            first = middle + 1;
        }
        else {
            return true;
        }
    }
    return false;
};
