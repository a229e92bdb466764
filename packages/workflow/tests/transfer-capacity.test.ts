import { describe, expect, it } from "@jest/globals";

import type { TransferCapacity } from "../src/policy/transfer-capacity.js";
import { transferCapacity } from "../src/policy/transfer-capacity.js";

const step = { cpu: 2_000 };
/** Ten workers of 10,000 millicores, each with room for two tasks of `step`. */
const cell: TransferCapacity = {
    placesByWorker: Array<number>(10).fill(2),
    freeCpu: 40_000,
    capacityCpu: 100_000,
    waitingCpu: 0,
    offeredCpu: 0,
};

describe("transferCapacity", () => {
    // Guards against a task that lost its run and waits while each other cell has room for just one.
    it("gives all places to preferred tasks, and keeps one from others", () => {
        expect(transferCapacity(step, cell, true)).toBe(20);
        expect(transferCapacity(step, { ...cell, placesByWorker: [1] }, true)).toBe(1);
        expect(transferCapacity(step, { ...cell, placesByWorker: [1] }, false)).toBe(0);
    });

    it("keeps room for short-lived work unless the tasks are preferred", () => {
        expect(transferCapacity(step, cell, false)).toBe(16);
        expect(transferCapacity(step, { ...cell, freeCpu: 8_000 }, false)).toBe(0);
    });

    // Guards against tasks that move to a cell in which they wait again.
    it("deducts the tasks that wait in the cell and those that it has offered to run", () => {
        expect(transferCapacity(step, { ...cell, waitingCpu: 10_000, offeredCpu: 6_000 }, true)).toBe(12);
        expect(transferCapacity(step, { ...cell, waitingCpu: 60_000 }, true)).toBe(0);
    });

    it("does not offer room that is spread over too many workers", () => {
        expect(transferCapacity(step, { ...cell, placesByWorker: Array<number>(10).fill(0) }, true)).toBe(0);
    });
});
