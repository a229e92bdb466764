import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import type { RequestQueue } from "../src/request-queue.js";
import { createRequestQueue } from "../src/request-queue.js";

const signal = new AbortController().signal;
const outcome = async (answer: ReturnType<RequestQueue<string>["wait"]>): Promise<string> =>
    (await answer).match({ Ok: slot => slot, Err: refusal => refusal });

describe("request queue", () => {
    let queue: RequestQueue<string>;
    beforeEach(() => {
        jest.useFakeTimers();
        queue = createRequestQueue<string>({ slots: () => 2 });
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    it("hands slots out by deadline", async () => {
        const late = outcome(queue.wait(performance.now() + 5_000, 10, signal));
        const soon = outcome(queue.wait(performance.now() + 1_000, 10, signal));
        const slots = ["first", "second"];
        queue.admitWaiting(() => slots.shift());
        expect(await soon).toBe("first");
        expect(await late).toBe("second");
    });

    it("answers at once what can't be served in time", async () => {
        expect(await outcome(queue.wait(performance.now() + 5, 10, signal))).toBe("deadline-unreachable");
        expect(await outcome(queue.wait(performance.now() + 5_000, 0, signal))).toBe("queue-full");
        expect(queue.length()).toBe(0);
    });

    it("lets go of requests whose deadline passes, whose caller leaves, or when it closes", async () => {
        const caller = new AbortController();
        const passed = outcome(queue.wait(performance.now() + 100, 10, signal));
        const left = outcome(queue.wait(performance.now() + 5_000, 10, caller.signal));
        const closed = outcome(queue.wait(performance.now() + 5_000, 10, signal));
        jest.advanceTimersByTime(101);
        caller.abort();
        queue.close();
        expect(await Promise.all([passed, left, closed])).toEqual(["deadline-passed", "cancelled", "closed"]);
        expect(queue.length()).toBe(0);
    });
});
