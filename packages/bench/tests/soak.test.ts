import { describe, expect, it } from "@jest/globals";

import { runSoak } from "../src/soak/run-soak.js";

/** Accepted workflows without which a soak would prove nothing. */
const leastAccepted = 15;

describe("real entry hosts under faults from outside", () => {
    // Guards against promises that hold in one process with fake time and break between real ones.
    it.each([0, 1])("keep all promises (seed %i)", async seed => {
        const { accepted, broken, unexpectedExits: failures, faults } = await runSoak({
            seed,
            seconds: 15,
            hostsPerDomain: 2,
            workersPerDomain: 3,
        });
        expect({ broken, failures, faults }).toEqual({ broken: [], failures: [], faults });
        expect(accepted).toBeGreaterThanOrEqual(leastAccepted);
    });
});
