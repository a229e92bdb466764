import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import pino from "pino";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import { crowdedCellsProfile } from "../../src/workflow/crowded-cells-profile.js";
import { simulateSeveralCellsDay } from "../../src/workflow/simulate-several-cells-day.js";

/** Days with several moves. */
const seeds = [2, 7, 11, 14];
/** Moves of workflows below which a day would prove nothing. */
const minMoves = 3;
/** Milliseconds of real time that one day may take on a busy machine. */
const dayTimeout = 30_000;

describe("a day of random faults with several cells that fill up in turn", () => {
    let time: FakeTime;
    beforeEach(() => {
        time = installFakeTime();
    });
    afterEach(() => {
        time.restore();
    });
    // Guards against workflows that run twice or never, or stay unknown, while they move between cells under faults.
    it.each(seeds)("keeps all promises (seed %i)", async seed => {
        let moves = 0;
        const logger = pino({}, {
            write: line => {
                moves += line.includes("workflow moved here") ? 1 : 0;
            },
        });
        const { broken, faults } = await simulateSeveralCellsDay({ seed, time, profile: crowdedCellsProfile, logger });
        expect({ broken, faults }).toEqual({ broken: [], faults });
        expect(moves).toBeGreaterThanOrEqual(minMoves);
    }, dayTimeout);
});
