import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import { simulateSeveralCellsDay } from "../../src/workflow/simulate-several-cells-day.js";

/**
 * Seeds that have failed: accepted workflows answered absent or never run (0 to 11), a state from before the
 * workflow's end answered from memory (32).
 */
const formerFailures = [0, 1, 2, 4, 6, 10, 11, 32];
const others = [3, 5, 7, 8, 9];
/** Accepted workflows below which a day would prove nothing. */
const minAccepted = 10;
/** Milliseconds of real time that one day may take on a busy machine. */
const dayTimeout = 30_000;

describe("a day of random faults with several cells", () => {
    let time: FakeTime;
    beforeEach(() => {
        time = installFakeTime();
    });
    afterEach(() => {
        time.restore();
    });
    // Guards against accepted workflows that no host knows or runs after lost or late writes and takeovers.
    it.each([...formerFailures, ...others])("keeps all promises (seed %i)", async seed => {
        const { broken, workflows, faults } = await simulateSeveralCellsDay({ seed, time });
        expect({ broken, faults }).toEqual({ broken: [], faults });
        const accepted = workflows.filter(({ acceptedAt }) => acceptedAt !== undefined);
        expect(accepted.length).toBeGreaterThanOrEqual(minAccepted);
    }, dayTimeout);
});
