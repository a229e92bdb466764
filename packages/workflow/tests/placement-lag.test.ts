import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import type { PlacementLag } from "../src/cell/placement-lag.js";
import { createPlacementLag } from "../src/cell/placement-lag.js";

/** Milliseconds between the rounds of a holder that keeps up. */
const interval = 200;

describe("lag of placement", () => {
    let lag: PlacementLag;
    beforeEach(() => {
        jest.useFakeTimers();
        lag = createPlacementLag();
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    const runRounds = (count: number, duration: number): void => {
        for (let round = 0; round < count; round += 1) {
            lag.expectRound(interval);
            jest.advanceTimersByTime(interval + duration);
            lag.endRound();
        }
    };

    // Guards against a holder that refuses work because of one pause of its process.
    it("is not too long after a single late round", () => {
        runRounds(10, 20);
        runRounds(1, 1_200);
        expect(lag.isBehind()).toBe(false);
    });

    // Guards against a holder that takes more work while what it has accepted waits for its late rounds.
    it("is too long while rounds are late again and again, and until they have kept up for a while", () => {
        runRounds(10, 20);
        runRounds(4, 1_000);
        const isBehind = lag.isBehind();
        runRounds(3, 20);
        const isStillBehind = lag.isBehind();
        runRounds(15, 20);
        expect([isBehind, isStillBehind, lag.isBehind()]).toEqual([true, true, false]);
    });

    // Guards against a holder that counts as keeping up because a round that would show its lag has not ended.
    it("counts a round that has not ended", () => {
        lag.expectRound(interval);
        lag.expectRound(0);
        jest.advanceTimersByTime(1_800);
        expect(lag.isBehind()).toBe(true);
    });
});
