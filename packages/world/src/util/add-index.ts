import type { IndexRanges } from "../index-ranges.js";

/** Returns `ranges` with `index` added, or `ranges` itself where it contains `index` already. */
export const addIndex = (ranges: IndexRanges, index: number): IndexRanges => {
    const position = ranges.findIndex(([, to]) => to >= index);
    if (position < 0) {
        return [...ranges, [index, index + 1]];
    }
    const [from, to] = ranges[position] ?? [index, index];
    if (index >= from && index < to) {
        return ranges;
    }
    if (index < from - 1) {
        return [...ranges.slice(0, position), [index, index + 1], ...ranges.slice(position)];
    }
    if (index === from - 1) {
        return [...ranges.slice(0, position), [index, to], ...ranges.slice(position + 1)];
    }
    const next = ranges[position + 1];
    if (next !== undefined && next[0] === index + 1) {
        return [...ranges.slice(0, position), [from, next[1]], ...ranges.slice(position + 2)];
    }
    return [...ranges.slice(0, position), [from, index + 1], ...ranges.slice(position + 1)];
};
