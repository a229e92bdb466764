import { describe, expect, it } from "@jest/globals";

import type { StartGateFacts } from "../src/policy/start-gate.js";
import { startGate } from "../src/policy/start-gate.js";

const open: StartGateFacts = {
    isHeldBack: false,
    isStored: true,
    hasRun: false,
    constraint: undefined,
    openWorkers: 4,
    withRoom: 3,
    withinLimit: 2,
    unreserved: 1,
};

describe("startGate", () => {
    it.each<[string, Partial<StartGateFacts>]>([
        ["none", {}],
        ["order pending", { hasRun: true, withRoom: 0 }],
        ["inherited", { isHeldBack: true, withRoom: 0 }],
        ["not stored", { isStored: false }],
        ["unanswered start", { constraint: "nowhere" }],
        ["no open worker", { openWorkers: 0, withRoom: 0, withinLimit: 0, unreserved: 0 }],
        ["no room", { withRoom: 0, withinLimit: 0, unreserved: 0 }],
        ["limit per worker", { withinLimit: 0, unreserved: 0 }],
        ["reserved", { unreserved: 0 }],
    ])("finds %s", (gate, changes) => {
        expect(startGate({ ...open, ...changes })).toBe(gate);
    });
});
