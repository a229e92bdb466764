import { describe, expect, it } from "@jest/globals";

import { simulateFaultCase } from "../src/fault-matrix/simulate-fault-case.js";

/** A subset of `npm run faults` small enough for a test run: cases that failed before, and each fault at least once. */
const cases: readonly (readonly [fault: string, step: string, seed: number])[] = [
    ["store slow", "task running", 1],
    ["endpoint leaving+live list stale", "task running", 2],
    ["load shift+worker fails all", "task running", 2],
    ["noisy wave", "request received", 1],
    ["host killed", "outcome recorded", 1],
    ["host paused", "task started", 1],
    ["worker killed", "resumed", 1],
    ["store down", "intent written", 1],
    ["reply lost", "chunk bound", 1],
    ["domain cut from platform", "evicted", 1],
    ["domains cut apart", "request forwarded", 1],
    ["leases lapse", "checkpointed", 1],
    ["cancellation wave", "finished", 1],
    ["racing operators", "promoted", 1],
];

describe("fault matrix", () => {
    it.each(cases)("%s at %s (seed %i)", async (fault, step, seed) => {
        const result = await simulateFaultCase({ faults: fault.split("+"), step, seed });
        expect(result).toEqual({ hasInjectedFaults: true, violations: [] });
    });
});
