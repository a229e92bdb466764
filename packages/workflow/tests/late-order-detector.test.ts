import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import { createLateOrderDetector } from "../src/cell/late-order-detector.js";

describe("detector of late orders", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    it("suspects calls shortly before and after a sign, and no others", () => {
        const detector = createLateOrderDetector();
        jest.advanceTimersByTime(20_000);
        expect(detector.mayBeDelayed(performance.now())).toBe(false);
        const before = performance.now() - 2_000;
        const longBefore = performance.now() - 10_000;
        detector.recordSign();
        jest.advanceTimersByTime(4_000);
        expect(detector.mayBeDelayed(before)).toBe(true);
        expect(detector.mayBeDelayed(performance.now())).toBe(true);
        expect(detector.mayBeDelayed(longBefore)).toBe(false);
        // Orders to a worker that dies long after the disturbance must not be treated as delayed.
        jest.advanceTimersByTime(10_000);
        expect(detector.mayBeDelayed(performance.now())).toBe(false);
        expect(detector.mayBeDelayed(before)).toBe(true);
    });
});
