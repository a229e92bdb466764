import { describe, expect, it } from "@jest/globals";

import { problem, problemKinds } from "../src/http/problem.js";

describe("problems", () => {
    it("have a status, a title and a result each", () => {
        expect(problemKinds).toMatchSnapshot();
    });

    it("have a retryAfter wherever the status is 503", () => {
        for (const [name, kind] of Object.entries(problemKinds)) {
            if (kind.status === 503) {
                expect([name, "retryAfter" in kind]).toEqual([name, true]);
            }
        }
    });

    it("include the detail in the response body", async () => {
        const answer = problem("never-runnable", "cores: 99");
        const [part] = await answer.body.toArray();
        expect(JSON.parse(String(part))).toMatchObject({ type: "urn:jayfront:never-runnable", detail: "cores: 99" });
    });
});
