import type { IndexRanges } from "../index-ranges.js";

/** Returns the ranges of the indices, which may come in any order. */
export const rangesOf = (indices: Iterable<number>): IndexRanges => {
    const ranges: [from: number, to: number][] = [];
    for (const index of [...indices].sort((left, right) => left - right)) {
        const last = ranges.at(-1);
        if (last !== undefined && index <= last[1]) {
            last[1] = Math.max(last[1], index + 1);
        }
        else {
            ranges.push([index, index + 1]);
        }
    }
    return ranges;
};
