import { describe, expect, it } from "@jest/globals";

import { createTailBrake } from "../src/policy/tail-brake.js";

describe("the brake on neighbours", () => {
    it("halts them within three reports of a tail over its target", () => {
        const brake = createTailBrake();
        expect([1.5, 1.5, 1.5].map(brake.note)).toEqual([0.4, expect.closeTo(0.16), 0]);
    });

    it("lets them go step by step once the tail is well below its target", () => {
        const brake = createTailBrake();
        [2, 2, 2].forEach(brake.note);
        expect([0.8, 0.5, 0.5, 0.5, 0.5, 0.5].map(brake.note).at(-1)).toBeCloseTo(1);
        expect(brake.level()).toBeCloseTo(1);
    });

    it("gives up where the tail stays over its target beside halted neighbours", () => {
        const brake = createTailBrake();
        const levels = Array<number>(9).fill(2).map(brake.note);
        expect(levels).toContain(0);
        expect(levels.at(-1)).toBe(1);
    });
});
