import type { CellId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import { createHolderChanges } from "../src/entry/holder-changes.js";

const cell = "all" as CellId;

describe("the pause before a cell's holder changes again", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    // Guards against takeovers without end, each of which gives its holder too little time to recover from it.
    it("grows with each recent change after the first one", () => {
        const changes = createHolderChanges();
        const pauses = [7, 8, 9, 9, 10, 11, 12, 13].map(epoch => {
            changes.record(cell, epoch);
            jest.advanceTimersByTime(2_000);
            return changes.pause(cell);
        });
        expect(pauses).toEqual([0, 0, 400, 400, 800, 1_600, 1_600, 1_600]);
    });

    it("counts changes that were missed, and forgets old ones", () => {
        const changes = createHolderChanges();
        changes.record(cell, 7);
        changes.record(cell, 10);
        const after = changes.pause(cell);
        jest.advanceTimersByTime(61_000);
        expect([after, changes.pause(cell)]).toEqual([800, 0]);
    });
});
