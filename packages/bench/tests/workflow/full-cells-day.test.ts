import { afterEach, beforeEach, describe, expect } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import { fullCellsProfile } from "../../src/workflow/full-cells-profile.js";
import { simulateSeveralCellsDay } from "../../src/workflow/simulate-several-cells-day.js";
import { createKnownRedTests } from "../known-red-tests.js";

const { test, checkEntries } = await createKnownRedTests(import.meta.url);

const seeds = [...Array(12).keys()];
/** Accepted workflows below which a day would prove nothing. */
const minAccepted = 10;

describe("a day of random faults with several cells that are nearly full", () => {
    let time: FakeTime;
    beforeEach(() => {
        time = installFakeTime();
    });
    afterEach(() => {
        time.restore();
    });
    // Guards against long-running tasks that wait in a full cell while other cells have room.
    for (const seed of seeds) {
        test(`keeps all promises (seed ${String(seed)})`, async () => {
            const { broken, workflows, faults } = await simulateSeveralCellsDay({
                seed,
                time,
                profile: fullCellsProfile,
            });
            const accepted = workflows.filter(({ acceptedAt }) => acceptedAt !== undefined);
            if (accepted.length < minAccepted) {
                throw new Error(
                    `${String(accepted.length)} workflows were accepted, fewer than ${String(minAccepted)}`,
                );
            }
            const waiting = broken.filter(({ promise }) => promise.endsWith("where there is room"));
            const others = broken.filter(found => !waiting.includes(found));
            // KNOWN-RED.txt excuses a task that waits, but no other broken promise.
            if (others.length > 0) {
                throw new Error(JSON.stringify({ others, faults }));
            }
            expect({ waiting, faults }).toEqual({ waiting: [], faults });
        });
    }
    checkEntries();
});
