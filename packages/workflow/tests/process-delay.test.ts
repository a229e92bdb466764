import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import type { ProcessDelay } from "../src/process/process-delay.js";
import { createProcessDelay } from "../src/process/process-delay.js";

/** Milliseconds that a measured timer should take. */
const interval = 150;

describe("the delay of a process", () => {
    let delay: ProcessDelay;
    beforeEach(() => {
        jest.useFakeTimers();
        delay = createProcessDelay();
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    /** Lets a measured timer run `late` ms after it is due. */
    const runTimer = async (late: number): Promise<void> => {
        const slept = delay.sleep(interval);
        const clock = performance.now();
        const now = jest.spyOn(performance, "now").mockReturnValue(clock + interval + late);
        await jest.advanceTimersByTimeAsync(interval);
        await slept;
        now.mockRestore();
        await jest.advanceTimersByTimeAsync(late);
    };

    // Guards against a late process that counts as punctual, so that it takes its own delay for the silence of others.
    it("is the longest of the last 3 s", async () => {
        await runTimer(400);
        await runTimer(20);
        const longest = delay.recent();
        await jest.advanceTimersByTimeAsync(2_900);
        const later = delay.recent();
        await jest.advanceTimersByTimeAsync(1_000);
        expect([longest, later, delay.recent()]).toEqual([400, 20, 0]);
    });

    // Guards against a silence of others that counts the time in which this process read nothing.
    it("adds up, with the delay of a timer that is overdue", async () => {
        await runTimer(400);
        await runTimer(20);
        const finished = delay.total();
        void delay.sleep(interval);
        const clock = performance.now();
        const now = jest.spyOn(performance, "now").mockReturnValue(clock + interval + 70);
        const withOverdue = delay.total();
        now.mockRestore();
        expect([finished, withOverdue]).toEqual([420, 490]);
    });
});
