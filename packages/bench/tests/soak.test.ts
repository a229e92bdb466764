import { describe, expect, it } from "@jest/globals";

import { runSoak } from "../src/soak/run-soak.js";

/** Accepted workflows below which a soak would prove nothing. */
const minAccepted = 15;

describe("real entry hosts under external faults", () => {
    // Guards against promises that are kept in one process in fake time, but broken by real processes.
    it.each([0, 1])("keep all promises (seed %i)", async seed => {
        const { accepted, broken, unexpectedExits, faults } = await runSoak({
            seed,
            seconds: 15,
            hostsPerDomain: 2,
            workersPerDomain: 3,
        });
        expect({ broken, unexpectedExits, faults }).toEqual({ broken: [], unexpectedExits: [], faults });
        expect(accepted).toBeGreaterThanOrEqual(minAccepted);
    });
});
