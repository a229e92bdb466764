import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";

import type { IndexRanges } from "../src/index-ranges.js";
import { addIndex } from "../src/util/add-index.js";
import { countIndices } from "../src/util/count-indices.js";
import { hasIndex } from "../src/util/has-index.js";
import { indicesOf } from "../src/util/indices-of.js";
import { intersectRanges } from "../src/util/intersect-ranges.js";
import { rangesOf } from "../src/util/ranges-of.js";
import { subtractRanges } from "../src/util/subtract-ranges.js";
import { unionRanges } from "../src/util/union-ranges.js";

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

    it("combine as the sets of their indices do", () => {
        const indices = fc.array(fc.nat({ max: 40 }));
        const sort = (numbers: Iterable<number>): number[] => [...numbers].sort((left, right) => left - right);
        fc.assert(
            fc.property(indices, indices, (left, right) => {
                const [first, second] = [rangesOf(left), rangesOf(right)];
                expect(first).toEqual(build(left));
                expect(unionRanges(first, second)).toEqual(build([...left, ...right]));
                expect([...indicesOf(intersectRanges(first, second))])
                    .toEqual(sort(new Set(left.filter(index => right.includes(index)))));
                expect(subtractRanges(first, second)).toEqual(build(left.filter(index => !right.includes(index))));
            }),
            { seed: 7 },
        );
    });
});
