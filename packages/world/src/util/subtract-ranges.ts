import type { IndexRanges } from "../index-ranges.js";

/** Returns the indices of `ranges` that are not in `removed`. */
export const subtractRanges = (ranges: IndexRanges, removed: IndexRanges): IndexRanges => {
    if (ranges.length === 0 || removed.length === 0) {
        return ranges;
    }
    const difference: [from: number, to: number][] = [];
    let position = 0;
    for (const [from, to] of ranges) {
        let start = from;
        // A removed range may reach into the next range, so that the last one that is looked at stays.
        while ((removed[position]?.[1] ?? Infinity) <= start) {
            position += 1;
        }
        for (let next = position; start < to; next += 1) {
            const [removedFrom, removedTo] = removed[next] ?? [to, to];
            const end = Math.min(to, removedFrom);
            if (end > start) {
                difference.push([start, end]);
            }
            start = Math.max(start, end, removedTo);
        }
    }
    return difference;
};
