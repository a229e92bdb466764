import { describe, expect, it } from "@jest/globals";

import { createStep } from "../src/model/create-step.js";
import type { Step } from "../src/model/step.js";
import type { FreeCapacity } from "../src/policy/free-capacity.js";
import type { LongRunningCapacity } from "../src/policy/long-running-capacity.js";
import { longRunningRoomShare } from "../src/policy/long-running-capacity.js";

const worker = { cpu: 64_000, memory: 256_000 };
const cell = (free: readonly FreeCapacity[], waitingCpu = 0): LongRunningCapacity => ({
    freeByWorker: free,
    capacityCpu: free.length * worker.cpu,
    waitingCpu,
});
const workers = (count: number, room: FreeCapacity = worker): readonly FreeCapacity[] =>
    Array.from({ length: count }, () => room);
const hasRoom = (steps: readonly Step[], capacity: LongRunningCapacity): boolean =>
    longRunningRoomShare(steps, capacity) >= 1;
const lasting = createStep({ count: 24, cpu: 13_000, memory: 26_000, isLasting: true });

// Guards against long-running work that goes to a full cell and waits there while other cells have room: hosts learn of
// each other's choices late and choose by old figures.
describe("longRunningRoomShare", () => {
    it.each<[string, LongRunningCapacity, boolean]>([
        ["accepts in an empty cell", cell(workers(20)), true],
        [
            "declines where no worker has enough free CPU for a task",
            cell(workers(40, { cpu: 12_000, memory: 256_000 })),
            false,
        ],
        ["declines where the workers lack memory", cell(workers(20, { cpu: 64_000, memory: 10_000 })), false],
        ["declines where as much long-running work waits already", cell(workers(10), 400_000), false],
    ])("%s", (...[, capacity, expected]) => {
        expect(hasRoom([lasting], capacity)).toBe(expected);
    });

    it("keeps a share of the CPU free for short-lived work", () => {
        const large = createStep({ count: 24, cpu: 15_500, memory: 26_000, isLasting: true });
        expect(hasRoom([large], cell(workers(6)))).toBe(false);
        expect(hasRoom([large], cell(workers(7)))).toBe(true);
    });

    it("counts no more tasks on a worker than the step allows", () => {
        const apart = createStep({ count: 24, cpu: 13_000, memory: 26_000, isLasting: true, perWorkerLimit: 1 });
        expect(hasRoom([apart], cell(workers(23)))).toBe(false);
        expect(hasRoom([apart], cell(workers(24)))).toBe(true);
    });

    it("does not restrict short-lived work", () => {
        expect(hasRoom([createStep({ count: 100, cpu: 64_000 })], cell([]))).toBe(true);
    });

    // Guards against a workflow whose tasks may not share a worker and that all cells decline although they have room:
    // what waits there counted as if it took workers from these tasks.
    it("counts what waits only against the free CPU where the step limits its tasks per worker", () => {
        const apart = createStep({ count: 20, cpu: 10_000, memory: 26_000, isLasting: true, perWorkerLimit: 1 });
        expect(hasRoom([apart], cell(workers(24), 400_000))).toBe(true);
    });

    it("is the share of the tasks that fit", () => {
        expect(longRunningRoomShare([lasting], cell(workers(4), 4 * 13_000))).toBeCloseTo(12 / 24, 6);
        expect(longRunningRoomShare([lasting], cell(workers(4, { cpu: 12_000, memory: 256_000 })))).toBe(0);
    });
});
