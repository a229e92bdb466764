import { describe, expect, it } from "@jest/globals";

import type { RelocationFacts } from "../src/policy/relocation-reason.js";
import { relocationReason } from "../src/policy/relocation-reason.js";

const facts = (changes: Partial<RelocationFacts>): RelocationFacts => ({
    isLasting: false,
    isCheckpointing: false,
    isGang: false,
    age: 1_000,
    haltedFor: 0,
    unchangedFor: 100,
    reportAge: 100,
    percent: 50,
    pace: 100,
    expectedTime: 2_000,
    hasRoomElsewhere: true,
    ...changes,
});

describe("relocationReason", () => {
    it.each([
        ["lets a healthy run go on", {}, undefined],
        ["lets a run go on that ends before its worker leaves", { workerStays: 2_500 }, undefined],
        [
            "moves a run that would not end before its worker leaves",
            { percent: 20, workerStays: 2_500 },
            "worker leaves",
        ],
        [
            "uses the expected time for a run without reported progress",
            { percent: 0, expectedTime: 5_000, workerStays: 2_500 },
            "worker leaves",
        ],
        [
            "moves a long-running task while there is room elsewhere",
            { isLasting: true, percent: 100, workerStays: 2_500 },
            "worker leaves",
        ],
        ["leaves a long-running task while there is no room elsewhere", {
            isLasting: true,
            percent: 100,
            workerStays: 2_500,
            hasRoomElsewhere: false,
        }, undefined],
        ["moves a long-running task just before its worker leaves, even without room elsewhere", {
            isLasting: true,
            percent: 100,
            workerStays: 200,
            hasRoomElsewhere: false,
        }, "worker leaves"],
        ["stops a checkpointing run before its worker may have left", {
            isCheckpointing: true,
            workerStays: 2_300,
        }, "worker leaves"],
        ["stops a run without progress", { unchangedFor: 2_500 }, "stands still"],
        ["expects no progress of a halted run", { unchangedFor: 9_000, pace: 0 }, undefined],
        ["moves a halted run whose work a stop saves", { isCheckpointing: true, pace: 0, haltedFor: 700 }, "halted"],
        ["leaves a run that was halted just now", { isCheckpointing: true, pace: 0, haltedFor: 300 }, undefined],
        ["leaves a halted run whose work a stop would lose", { pace: 0, haltedFor: 5_000 }, undefined],
        [
            "leaves a halted member of a gang",
            { isCheckpointing: true, isGang: true, pace: 0, haltedFor: 5_000 },
            undefined,
        ],
        ["gives a slowed run more time for progress", { unchangedFor: 2_500, pace: 40 }, undefined],
        [
            "expects no progress of a gang member, which may wait for the others",
            { unchangedFor: 9_000, isGang: true },
            undefined,
        ],
        ["does not judge progress by an old report", { unchangedFor: 9_000, reportAge: 3_000 }, undefined],
        [
            "stops a long-running task that does not begin to serve in time",
            { isLasting: true, percent: 10, age: 6_000, unchangedFor: 5_000 },
            "stands still",
        ],
        [
            "expects no progress of a long-running task that serves",
            { isLasting: true, percent: 100, age: 60_000, unchangedFor: 55_000 },
            undefined,
        ],
    ])("%s", (...[, changes, expected]) => {
        expect(relocationReason(facts(changes))).toBe(expected);
    });
});
