import { describe, expect, it } from "@jest/globals";

import { createStep } from "../src/model/create-step.js";
import type { Step } from "../src/model/step.js";
import type { FreeCapacity } from "../src/policy/free-capacity.js";
import { shortLivedRoomShare } from "../src/policy/short-lived-room.js";

const workers = (count: number, cpu: number, memory = 256_000): readonly FreeCapacity[] =>
    Array.from({ length: count }, () => ({ cpu, memory }));
const render: Partial<Step> = { count: 10, cpu: 20_000, memory: 40_000 };

// Guards against short-lived work that goes to a cell whose free CPU is spread over workers none of which has room for
// one of its tasks.
describe("shortLivedRoomShare", () => {
    it.each<[string, readonly Partial<Step>[], readonly FreeCapacity[], number, number]>([
        ["is 1 where all tasks fit", [render], workers(4, 64_000), 0, 1],
        ["is the share of the tasks that fit", [render], workers(2, 64_000), 0, 0.6],
        ["is 0 where no worker has room for a task", [render], workers(100, 19_000), 0, 0],
        ["counts the memory", [render], workers(100, 64_000, 39_000), 0, 0],
        ["subtracts what waits already", [render], workers(4, 64_000), 120_000, 0.6],
        ["is that of the step with the least room", [render, { cpu: 64_000 }], workers(10, 63_000), 0, 0],
        ["ignores long-running steps", [{ ...render, isLasting: true }], workers(1, 0), 0, 1],
        ["ignores steps that use spare CPU", [{ ...render, usesSpareCpu: true }], workers(1, 0), 0, 1],
    ])("%s", (...[, steps, freeByWorker, waitingCpu, expected]) => {
        expect(shortLivedRoomShare(steps.map(createStep), { freeByWorker, waitingCpu })).toBeCloseTo(expected, 6);
    });
});
