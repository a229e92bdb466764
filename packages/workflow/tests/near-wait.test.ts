import { describe, expect, it } from "@jest/globals";

import { decideNearWait } from "../src/policy/near-wait.js";

describe("decideNearWait", () => {
    const facts = {
        waited: 0,
        expectedWait: 200,
        runTime: 1_000,
        farRunFactor: 1.5,
        laxity: 2_000,
        expiryLaxity: 9_000,
    };
    // Guards against waits that cost more than they gain: beside a long queue, without knowledge, or again and again; and
    // against waits that make a workflow late which the slower run would have kept in time.
    it.each([
        ["a place is expected before the slower run would have lost more", {}, "wait"],
        ["the queue for the place is longer than that", { expectedWait: 501 }, "long-queue"],
        ["no end has been seen there", { expectedWait: Infinity }, "long-queue"],
        ["tasks of the step have waited as long as the slower run loses", { waited: 500 }, "bound"],
        ["the run is long, but users expect a run", { runTime: 9_000, laxity: 9_000, waited: 1_000 }, "bound"],
        ["the slower run would be in time now, but not at the next decision", { laxity: 790 }, "deadline"],
        ["only a near run can be in time", { laxity: 490 }, "wait"],
        ["neither run can be in time, and the result stays useful", { laxity: 100 }, "wait"],
        ["the result has become useless", { laxity: -3_000, expiryLaxity: -1 }, "deadline"],
        ["racks make no difference", { farRunFactor: 1 }, "bound"],
    ])("when %s", (...[, changes, expected]) => {
        expect(decideNearWait({ ...facts, ...changes })).toBe(expected);
    });
});
