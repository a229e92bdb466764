import { describe, expect, it } from "@jest/globals";

import { createTailLatencyThrottle } from "../src/policy/tail-latency-throttle.js";

describe("the throttle of spare-CPU tasks", () => {
    it("halts them within three reports of a tail over its target", () => {
        const throttle = createTailLatencyThrottle();
        expect([1.5, 1.5, 1.5].map(throttle.update)).toEqual([0.4, expect.closeTo(0.16), 0]);
    });

    it("lets them go step by step once the tail is well below its target", () => {
        const throttle = createTailLatencyThrottle();
        [2, 2, 2].forEach(throttle.update);
        expect([0.8, 0.5, 0.5, 0.5, 0.5, 0.5].map(throttle.update).at(-1)).toBeCloseTo(1);
        expect(throttle.level()).toBeCloseTo(1);
    });

    it("releases them where the tail stays over its target although they are halted", () => {
        const throttle = createTailLatencyThrottle();
        const levels = Array<number>(9).fill(2).map(throttle.update);
        expect(levels).toContain(0);
        expect(levels.at(-1)).toBe(1);
    });
});
