import { describe, expect, it } from "@jest/globals";

import { findLateStart } from "../src/protocol/find-late-start.js";
import type { ProtocolEvent } from "../src/protocol/protocol-journal.js";

const evacuationTime = 5_000;
const evacuations = [{ failureDomain: "east-a", from: 1_000, until: 20_000 }];
const started = (at: number, failureDomain = "east-a", sentAt?: number): ProtocolEvent => ({
    kind: "started",
    at,
    worker: "w-0",
    task: "00000000000000a1.0.0.0",
    run: 1,
    failureDomain,
    ...(sentAt === undefined ? {} : { sentAt }),
});

describe("the search for starts in failure domains that are evacuated", () => {
    // Guards against a stand-in that overlooks late starts, or reports those that it has delayed itself.
    it.each<[string, ProtocolEvent, boolean]>([
        ["within the bound", started(6_000), false],
        ["after the bound", started(6_001), true],
        ["after the removal", started(20_000), false],
        ["in another domain", started(9_000, "east-b"), false],
        ["sent within the bound and carried out late", started(9_000, "east-a", 5_000), false],
        ["sent after the bound and carried out later", started(30_000, "east-a", 9_000), true],
    ])("judges a start %s", (...[, event, isLate]) => {
        expect(findLateStart({ events: [event], evacuations }, evacuationTime) !== undefined).toBe(isLate);
    });
});
