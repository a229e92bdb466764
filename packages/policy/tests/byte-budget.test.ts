import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import { createByteBudget } from "../src/byte-budget.js";

describe("byte budget", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    it("has a balance until it is spent, and again once it has refilled", () => {
        const budget = createByteBudget(() => 1_000);
        expect(budget.hasBalance()).toBe(true);
        budget.spend(3_000);
        expect(budget.hasBalance()).toBe(false);
        jest.advanceTimersByTime(1_900);
        expect(budget.hasBalance()).toBe(false);
        jest.advanceTimersByTime(200);
        expect(budget.hasBalance()).toBe(true);
    });

    it("accumulates at most the bytes of one second", () => {
        const budget = createByteBudget(() => 1_000);
        jest.advanceTimersByTime(60_000);
        budget.spend(1_001);
        expect(budget.hasBalance()).toBe(false);
    });
});
