import { describe, expect, it } from "@jest/globals";

import { findViolation } from "../src/promises/find-violation.js";

const seed = 20260302;
const runs = 40;

describe("random runs of kills, pauses, delays, store outages and lost messages", () => {
    it("break no promise", async () => {
        expect(await findViolation({ seed, runs })).toBeUndefined();
    });

    it("find workers that obey outdated fences", async () => {
        expect(await findViolation({ seed, runs, ignoresFence: true }))
            .toMatch(/one-place|finish-once|at-most-once|no-over-commit/);
    });

    it("find a holder that starts tasks after adopting its first worker", async () => {
        expect(await findViolation({ seed, runs, startsAfterFirstAdoption: true }))
            .toMatch(/one-place|finish-once|at-most-once/);
    });
});
