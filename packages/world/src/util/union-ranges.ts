import type { IndexRanges } from "../index-ranges.js";

/** Returns the indices that are in one of `sets` or more. */
export const unionRanges = (...sets: readonly IndexRanges[]): IndexRanges => {
    const [first, ...others] = sets.filter(ranges => ranges.length > 0);
    if (first === undefined || others.length === 0) {
        return first ?? [];
    }
    const sorted = [first, ...others].flat().sort(([left], [right]) => left - right);
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
