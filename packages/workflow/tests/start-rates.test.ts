import { describe, expect, it } from "@jest/globals";

import type { StartRates } from "../src/policy/start-rates.js";
import { createStartRates } from "../src/policy/start-rates.js";

/** Passes each 100 ms for 2 s in which a task of 50,000 millicores times ms of each priority starts. */
const runPasses = (rates: StartRates, isWaiting: boolean): void => {
    for (let now = 0; now <= 2_000; now += 100) {
        rates.recordStart("spare", 0, 50_000);
        rates.recordStart("spare", 2, 50_000);
        rates.endPass(new Set(isWaiting ? ["spare" as const] : []), now);
    }
};

describe("the rates at which work starts", () => {
    // Guards against a calm day on which the load counts as the limit of the room.
    it("are not known while nothing waits", () => {
        const rates = createStartRates();
        runPasses(rates, false);
        expect(rates.rateOf("spare", 0)).toBeUndefined();
    });

    // Guards against submissions that are refused after a burst, by the rate that was seen in it.
    it("are not known once nothing waits any more", () => {
        const rates = createStartRates();
        runPasses(rates, true);
        rates.endPass(new Set(), 2_100);
        expect(rates.rateOf("spare", 0)).toBeUndefined();
    });

    // Guards against a forecast for work of a later priority that counts on room that urgent work takes.
    it("leave out work of earlier priorities, and other pools", () => {
        const rates = createStartRates();
        runPasses(rates, true);
        expect([rates.rateOf("spare", 0), rates.rateOf("spare", 1), rates.rateOf("reserved", 0)])
            .toEqual([1_000, 500, undefined]);
    });

    // Guards against one task that waits for a rare worker, beside which few others start.
    it("are not known after a few starts", () => {
        const rates = createStartRates();
        for (let now = 0; now <= 4_000; now += 500) {
            rates.recordStart("spare", 0, 50_000);
            rates.endPass(new Set(["spare"]), now);
        }
        expect(rates.rateOf("spare", 0)).toBeUndefined();
    });
});
