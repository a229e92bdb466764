import { describe, expect, it } from "@jest/globals";

import { findBreach } from "../src/protocol/find-breach.js";
import type { ProtocolEvent } from "../src/protocol/protocol-journal.js";

const task = "00000000000000a1.0.0.0";
const run = (worker: string, number: number, start: number, end: number): ProtocolEvent[] => [
    { kind: "started", at: start, worker, task, run: number },
    { kind: "ended", at: end, worker, task, run: number, how: "done" },
];
const acknowledged = (at: number, endedAt: number, hasLapsed = false): ProtocolEvent => ({
    kind: "acknowledged",
    at,
    worker: "w-0",
    task,
    how: "done",
    endedAt,
    hasLapsed,
});

describe("the search for violations", () => {
    // Guards against a check that overlooks tasks that run again before their end is recorded (review case 1).
    it.each<[string, ProtocolEvent[], boolean]>([
        ["once", [...run("w-0", 1, 0, 10), acknowledged(20, 10)], false],
        [
            "again after its end was recorded",
            [...run("w-0", 1, 0, 10), acknowledged(20, 10), ...run("w-1", 2, 30, 40)],
            true,
        ],
        [
            "again before its end was recorded",
            [...run("w-0", 1, 0, 10), ...run("w-0", 2, 15, 18), acknowledged(20, 10)],
            true,
        ],
        ["again after the lease expired", [
            ...run("w-0", 1, 0, 10),
            ...run("w-1", 2, 15, 18),
            acknowledged(20, 10, true),
        ], false],
        ["again, with an end that is never recorded", [...run("w-0", 1, 0, 10), ...run("w-1", 2, 15, 18)], false],
    ])("knows whether a task may run %s", (...[, events, isBreach]) => {
        expect(findBreach(events) !== undefined).toBe(isBreach);
    });
});
