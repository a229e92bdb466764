import type { IndexRanges } from "../index-ranges.js";

/** Returns the indices that are in `left`, in `right` or in both. */
export const unionRanges = (left: IndexRanges, right: IndexRanges): IndexRanges => {
    if (left.length === 0 || right.length === 0) {
        return left.length === 0 ? right : left;
    }
    const sorted = [...left, ...right].sort(([first], [second]) => first - second);
    const union: [from: number, to: number][] = [];
    for (const [from, to] of sorted) {
        const last = union.at(-1);
        if (last !== undefined && from <= last[1]) {
            last[1] = Math.max(last[1], to);
        }
        else {
            union.push([from, to]);
        }
    }
    return union;
};
