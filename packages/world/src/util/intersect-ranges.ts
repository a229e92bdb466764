import type { IndexRanges } from "../index-ranges.js";

/** Returns the indices that are both in `left` and in `right`. */
export const intersectRanges = (left: IndexRanges, right: IndexRanges): IndexRanges => {
    const common: [from: number, to: number][] = [];
    let position = 0;
    for (const [from, to] of left) {
        while ((right[position]?.[1] ?? Infinity) <= from) {
            position += 1;
        }
        for (let next = position; next < right.length; next += 1) {
            const [otherFrom, otherTo] = right[next] ?? [to, to];
            if (otherFrom >= to) {
                break;
            }
            common.push([Math.max(from, otherFrom), Math.min(to, otherTo)]);
        }
    }
    return common;
};
