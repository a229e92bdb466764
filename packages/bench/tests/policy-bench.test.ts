import { describe, expect, it } from "@jest/globals";

import { simulateBenchCase } from "../src/policy-bench/run-bench.js";

const users = ["granite-vale", "sabla"] as const;

describe.each(users)("policy under load for %s", user => {
    it("keeps 99% of windows within target on a normal day, with 90% of the oracle's throughput", () => {
        const figures = simulateBenchCase({ user, scenario: "normal day", seed: 1 }, ["jayfront", "oracle"]);
        expect(figures["jayfront"]?.withinTarget).toBeGreaterThanOrEqual(0.99);
        expect((figures["jayfront"]?.throughput ?? 0) / (figures["oracle"]?.throughput ?? 1)).toBeGreaterThanOrEqual(
            0.9,
        );
        expect(figures["jayfront"]?.evictionsPerTask).toBeLessThanOrEqual(0.05);
    });

    it("gives a failing worker at most 10 tasks before its quarantine", () => {
        const figures = simulateBenchCase({ user, scenario: "failing workers", seed: 1 }, ["jayfront"]);
        expect(figures["jayfront"]?.failingWorkerStarts).toBeLessThanOrEqual(10);
        expect(figures["jayfront"]?.onTimeShare).toBeGreaterThanOrEqual(0.99);
    });
});

describe("the benchmark", () => {
    it("gives the same figures for the same seed", () => {
        const benchCase = { user: "sabla", scenario: "cancellations", seed: 2 };
        expect(simulateBenchCase(benchCase, ["jayfront"])).toEqual(simulateBenchCase(benchCase, ["jayfront"]));
    });
});
