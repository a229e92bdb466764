import { describe, expect, it } from "@jest/globals";

import type { RelocationFacts } from "../src/policy/relocation-reason.js";
import { relocationReason } from "../src/policy/relocation-reason.js";

const facts = (changes: Partial<RelocationFacts>): RelocationFacts => ({
    isLasting: false,
    isCheckpointing: false,
    isGang: false,
    age: 1_000,
    unchangedFor: 100,
    reportAge: 100,
    percent: 50,
    pace: 100,
    expectedTime: 2_000,
    hasRoomElsewhere: true,
    ...changes,
});

describe("whether a run goes on where it is", () => {
    it.each([
        ["a healthy one goes on", {}, undefined],
        ["one that ends before its worker leaves goes on", { workerStays: 2_500 }, undefined],
        ["one that won't is moved at once", { percent: 20, workerStays: 2_500 }, "worker leaves"],
        [
            "one without a report is judged by its expected time",
            { percent: 0, expectedTime: 5_000, workerStays: 2_500 },
            "worker leaves",
        ],
        [
            "a lasting one moves while there is room",
            { isLasting: true, percent: 100, workerStays: 2_500 },
            "worker leaves",
        ],
        ["a lasting one stays while there is none", {
            isLasting: true,
            percent: 100,
            workerStays: 2_500,
            hasRoomElsewhere: false,
        }, undefined],
        ["a lasting one moves at the end in any case", {
            isLasting: true,
            percent: 100,
            workerStays: 200,
            hasRoomElsewhere: false,
        }, "worker leaves"],
        ["one that saves its work is stopped before its worker may have left", {
            isCheckpointing: true,
            workerStays: 2_300,
        }, "worker leaves"],
        ["one that stands still is stopped", { unchangedFor: 2_500 }, "stands still"],
        ["one that was halted may stand still", { unchangedFor: 9_000, pace: 0 }, undefined],
        ["one that was slowed gets more time", { unchangedFor: 2_500, pace: 40 }, undefined],
        ["a member of a gang may wait", { unchangedFor: 9_000, isGang: true }, undefined],
        ["without fresh reports nothing is known", { unchangedFor: 9_000, reportAge: 3_000 }, undefined],
        [
            "a lasting one has to serve in time",
            { isLasting: true, percent: 10, age: 6_000, unchangedFor: 5_000 },
            "stands still",
        ],
        [
            "a lasting one that serves stands at 100",
            { isLasting: true, percent: 100, age: 60_000, unchangedFor: 55_000 },
            undefined,
        ],
    ])("%s", (...[, changes, expected]) => {
        expect(relocationReason(facts(changes))).toBe(expected);
    });
});
