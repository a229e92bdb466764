import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";

import type { IndexRanges } from "../src/index-ranges.js";
import { addIndex } from "../src/util/add-index.js";
import { countIndices } from "../src/util/count-indices.js";
import { hasIndex } from "../src/util/has-index.js";

const build = (indices: readonly number[]): IndexRanges => indices.reduce<IndexRanges>(addIndex, []);

describe("index ranges", () => {
    it("contain the added indices, sorted and disjoint", () => {
        fc.assert(
            fc.property(fc.array(fc.nat({ max: 40 })), indices => {
                const ranges = build(indices);
                const distinct = new Set(indices);
                expect(countIndices(ranges)).toBe(distinct.size);
                expect([...Array(41).keys()].filter(index => hasIndex(ranges, index))).toEqual(
                    [...distinct].sort((left, right) => left - right),
                );
                ranges.forEach(([from], position) => {
                    const previous = ranges[position - 1];
                    expect(previous === undefined || previous[1] < from).toBe(true);
                });
            }),
            { seed: 7 },
        );
    });

    it("are returned unchanged where the index is contained already", () => {
        const ranges = build([1, 2, 3]);
        expect(addIndex(ranges, 2)).toBe(ranges);
    });
});
