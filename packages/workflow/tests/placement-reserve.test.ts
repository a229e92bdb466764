import { describe, expect, it } from "@jest/globals";

import { createStep } from "../src/model/create-step.js";
import { createPlacementReserve, reservedStarts } from "../src/policy/placement-reserve.js";
import { testQueue } from "./test-queue.js";

describe("the reserve of a holder that is late with placement", () => {
    // Guards against a holder that is late for good since it goes on to accept as much as it places.
    it("lasts for a workflow of usual size and is filled again slowly", () => {
        const reserve = createPlacementReserve(0.12);
        const left = [0, 1_000, 5_000].map(now => {
            const starts = reserve.left(now);
            reserve.take(starts, now);
            return starts;
        });
        expect(left).toEqual([16, 9, 16]);
    });

    it("is larger on a larger host", () => {
        expect(createPlacementReserve(2).left(0)).toBe(150);
    });

    const batchQueue = { ...testQueue, priority: 1 };
    // Guards against a reserve that goes to work which would wait behind all that is late already.
    it.each([
        ["an urgent workflow", testQueue, [{ count: 3 }, { count: 2, after: [0] }], 5],
        ["a workflow that is not urgent", batchQueue, [{ count: 1 }], Infinity],
        ["a long-running workflow", testQueue, [{ count: 1, isLasting: true }], Infinity],
    ])("is taken by all tasks of %s", (...[, queue, steps, expected]) => {
        expect(reservedStarts({ queue, steps: steps.map(createStep) })).toBe(expected);
    });

    it("is not for scheduled workflows", () => {
        const schedule = { firstDue: 0, interval: 1_000, repetitions: 3 };
        expect(reservedStarts({ queue: testQueue, steps: [createStep()], schedule })).toBe(Infinity);
    });
});
