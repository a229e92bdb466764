import { describe, expect, it } from "@jest/globals";

import { assignCells } from "../src/assign-cells.js";

const cells = [...Array(18).keys()].map(number => `one/${String(number)}`);
const hostsOf = (count: number): readonly string[] => [...Array(count).keys()].map(number => `host-${String(number)}`);
const sortedCounts = (assigned: ReadonlyMap<string, string>): readonly number[] => {
    const counts = new Map<string, number>();
    for (const host of assigned.values()) {
        counts.set(host, (counts.get(host) ?? 0) + 1);
    }
    return [...counts.values()].sort();
};

describe("assignCells", () => {
    it("assigns each host an equal number of cells", () => {
        expect(sortedCounts(assignCells(cells, hostsOf(3)))).toEqual([6, 6, 6]);
        expect(sortedCounts(assignCells(cells, hostsOf(9))).every(count => count === 2)).toBe(true);
    });

    it("does not depend on the order of the hosts", () => {
        const forward = assignCells(cells, hostsOf(5));
        const backward = assignCells(cells, [...hostsOf(5)].reverse());
        expect([...forward]).toEqual([...backward]);
    });

    it("moves at most twice the even share when a host joins", () => {
        for (let count = 2; count < 9; count += 1) {
            const before = assignCells(cells, hostsOf(count));
            const after = assignCells(cells, hostsOf(count + 1));
            const moved = cells.filter(cell => before.get(cell) !== after.get(cell)).length;
            expect(moved).toBeLessThanOrEqual(2 * Math.ceil(cells.length / count));
        }
    });

    it("assigns nothing without hosts", () => {
        expect(assignCells(cells, []).size).toBe(0);
    });
});
