import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import { createLateOrderDetector } from "../src/cell/late-order-detector.js";

describe("signs of late orders", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    it("make calls around them suspect, before and after, and no others", () => {
        const orders = createLateOrderDetector();
        jest.advanceTimersByTime(20_000);
        expect(orders.mayBeDelayed(performance.now())).toBe(false);
        const before = performance.now() - 2_000;
        const longBefore = performance.now() - 10_000;
        orders.recordSign();
        jest.advanceTimersByTime(4_000);
        expect(orders.mayBeDelayed(before)).toBe(true);
        expect(orders.mayBeDelayed(performance.now())).toBe(true);
        expect(orders.mayBeDelayed(longBefore)).toBe(false);
        // A worker that dies long after the disturbance must not be waited for as if its orders were late.
        jest.advanceTimersByTime(10_000);
        expect(orders.mayBeDelayed(performance.now())).toBe(false);
        expect(orders.mayBeDelayed(before)).toBe(true);
    });
});
