import { afterEach, describe, expect, it, jest } from "@jest/globals";

import { startAnswerTimeout } from "../src/util/start-answer-timeout.js";

/** Milliseconds of each timeout. */
const timeout = 100;

const block = (milliseconds: number): void => {
    const end = performance.now() + milliseconds;
    while (performance.now() < end) {
        // Nothing else may run.
    }
};

describe("the timeout of an answer", () => {
    /** Immediates remain real, as in the fake time of the package `bench`. */
    const fakeTimers = (): void => {
        jest.useFakeTimers({ doNotFake: ["setImmediate", "clearImmediate"] });
    };
    const readSockets = (): Promise<void> =>
        new Promise(resolve => {
            setImmediate(resolve);
        });
    afterEach(() => {
        jest.useRealTimers();
    });

    it("ends on time if the process is not late", async () => {
        fakeTimers();
        const giveUp = jest.fn();
        startAnswerTimeout(timeout, giveUp);
        await jest.advanceTimersByTimeAsync(timeout - 1);
        const earlyCalls = giveUp.mock.calls.length;
        await jest.advanceTimersByTimeAsync(1);
        await readSockets();
        expect([earlyCalls, giveUp.mock.calls.length]).toEqual([0, 1]);
    });

    // Guards against a late process that has no time to send a call and read its answer before it gives up the call.
    it("leaves half of its time after the process was late", async () => {
        const endedAt = new Promise<number>(resolve => {
            startAnswerTimeout(timeout, () => {
                resolve(performance.now());
            });
        });
        block(3 * timeout);
        const blockedUntil = performance.now();
        expect(await endedAt - blockedUntil).toBeGreaterThanOrEqual(timeout / 2 - 2);
    });

    it.each([0, timeout / 2, timeout])("can be stopped after %d ms", async milliseconds => {
        fakeTimers();
        const giveUp = jest.fn();
        const stop = startAnswerTimeout(timeout, giveUp);
        jest.advanceTimersByTime(milliseconds);
        stop();
        jest.advanceTimersByTime(2 * timeout);
        await readSockets();
        jest.advanceTimersByTime(2 * timeout);
        expect(giveUp).not.toHaveBeenCalled();
    });
});
