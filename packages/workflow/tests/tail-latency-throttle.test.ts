import { describe, expect, it } from "@jest/globals";

import { createTailLatencyThrottle } from "../src/policy/tail-latency-throttle.js";

describe("the brake on neighbours", () => {
    it("halts them within three reports of a tail over its target", () => {
        const brake = createTailLatencyThrottle();
        expect([1.5, 1.5, 1.5].map(brake.update)).toEqual([0.4, expect.closeTo(0.16), 0]);
    });

    it("lets them go step by step once the tail is well below its target", () => {
        const brake = createTailLatencyThrottle();
        [2, 2, 2].forEach(brake.update);
        expect([0.8, 0.5, 0.5, 0.5, 0.5, 0.5].map(brake.update).at(-1)).toBeCloseTo(1);
        expect(brake.level()).toBeCloseTo(1);
    });

    it("gives up where the tail stays over its target beside halted neighbours", () => {
        const brake = createTailLatencyThrottle();
        const levels = Array<number>(9).fill(2).map(brake.update);
        expect(levels).toContain(0);
        expect(levels.at(-1)).toBe(1);
    });
});
