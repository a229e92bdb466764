import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import type { RequestQueue } from "../src/request-queue.js";
import { createRequestQueue } from "../src/request-queue.js";

const signal = new AbortController().signal;
const outcome = async (result: ReturnType<RequestQueue<string>["wait"]>): Promise<string> =>
    (await result).match({ Ok: slot => slot, Err: refusal => refusal });

describe("request queue", () => {
    let queue: RequestQueue<string>;
    beforeEach(() => {
        jest.useFakeTimers();
        queue = createRequestQueue<string>({ slots: () => 2 });
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    it("gives slots to the earliest deadline first", async () => {
        const late = outcome(queue.wait(performance.now() + 5_000, 10, signal));
        const soon = outcome(queue.wait(performance.now() + 1_000, 10, signal));
        const slots = ["first", "second"];
        queue.admitWaiting(() => slots.shift());
        expect(await soon).toBe("first");
        expect(await late).toBe("second");
    });

    it("refuses at once what can't be served in time", async () => {
        expect(await outcome(queue.wait(performance.now() + 5, 10, signal))).toBe("deadline-unreachable");
        expect(await outcome(queue.wait(performance.now() + 5_000, 0, signal))).toBe("queue-full");
        expect(queue.length()).toBe(0);
    });

    it("settles requests when their deadline passes, when their caller aborts, and when the queue closes", async () => {
        const caller = new AbortController();
        const passed = outcome(queue.wait(performance.now() + 100, 10, signal));
        const cancelled = outcome(queue.wait(performance.now() + 5_000, 10, caller.signal));
        const closed = outcome(queue.wait(performance.now() + 5_000, 10, signal));
        jest.advanceTimersByTime(101);
        caller.abort();
        queue.close();
        expect(await Promise.all([passed, cancelled, closed])).toEqual(["deadline-passed", "cancelled", "closed"]);
        expect(queue.length()).toBe(0);
    });
});
