import type { IndexRanges } from "../index-ranges.js";

/** Iterates over the indices of `ranges` in rising order. */
export const indicesOf = function*(ranges: IndexRanges): Generator<number, void, undefined> {
    for (const [from, to] of ranges) {
        for (let index = from; index < to; index += 1) {
            yield index;
        }
    }
};
