import { describe, expect, it } from "@jest/globals";

import { createResponseTimeEstimate } from "../src/store/response-time-estimate.js";

const createEstimate = (): ReturnType<typeof createResponseTimeEstimate> =>
    createResponseTimeEstimate({ minTimeout: 400, maxTimeout: 2_400 });

describe("estimate of response times", () => {
    it("keeps the shortest timeout while answers are quick", () => {
        const estimate = createEstimate();
        const before = estimate.timeout();
        Array.from({ length: 20 }, () => 4).forEach(estimate.recordAnswer);
        expect([before, estimate.timeout()]).toEqual([400, 400]);
    });

    // Guards against calls that are given up, and sent again, although a slow server would answer them.
    it("follows a server that becomes slower, within the longest timeout", () => {
        const estimate = createEstimate();
        estimate.recordAnswer(4);
        const timeouts = Array.from({ length: 4 }, () => {
            const timeout = estimate.timeout();
            estimate.recordTimeout(timeout);
            return timeout;
        });
        Array.from({ length: 10 }, () => 900).forEach(estimate.recordAnswer);
        const whileSlow = estimate.timeout();
        expect({ timeouts, isEnough: whileSlow > 900 && whileSlow <= 2_400 })
            .toEqual({ timeouts: [400, 800, 1_600, 2_400], isEnough: true });
    });

    it("returns to the shortest timeout once the server is quick again", () => {
        const estimate = createEstimate();
        Array.from({ length: 10 }, () => 900).forEach(estimate.recordAnswer);
        Array.from({ length: 40 }, () => 4).forEach(estimate.recordAnswer);
        expect(estimate.timeout()).toBe(400);
    });
});
