import { describe, expect, it } from "@jest/globals";

import { createStep } from "../src/model/create-step.js";
import type { FreeCapacity } from "../src/policy/free-capacity.js";
import type { LongRunningCapacity } from "../src/policy/long-running-capacity.js";
import { hasCapacityForLongRunning } from "../src/policy/long-running-capacity.js";

const worker = { cpu: 64_000, memory: 256_000 };
const cell = (free: readonly FreeCapacity[], waitingCpu = 0): LongRunningCapacity => ({
    freeByWorker: free,
    capacityCpu: free.length * worker.cpu,
    waitingCpu,
});
const workers = (count: number, room: FreeCapacity = worker): readonly FreeCapacity[] =>
    Array.from({ length: count }, () => room);
const lasting = createStep({ count: 24, cpu: 13_000, memory: 26_000, isLasting: true });

// Guards against long-running work that goes to a full cell and waits there while other cells have room: hosts learn of
// each other's choices late and choose by old figures.
describe("hasCapacityForLongRunning", () => {
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
        expect(hasCapacityForLongRunning([lasting], capacity)).toBe(expected);
    });

    it("keeps a share of the CPU free for short-lived work", () => {
        const large = createStep({ count: 24, cpu: 15_500, memory: 26_000, isLasting: true });
        expect(hasCapacityForLongRunning([large], cell(workers(6)))).toBe(false);
        expect(hasCapacityForLongRunning([large], cell(workers(7)))).toBe(true);
    });

    it("counts no more tasks on a worker than the step allows", () => {
        const apart = createStep({ count: 24, cpu: 13_000, memory: 26_000, isLasting: true, perWorkerLimit: 1 });
        expect(hasCapacityForLongRunning([apart], cell(workers(23)))).toBe(false);
        expect(hasCapacityForLongRunning([apart], cell(workers(24)))).toBe(true);
    });

    it("does not restrict short-lived work", () => {
        expect(hasCapacityForLongRunning([createStep({ count: 100, cpu: 64_000 })], cell([]))).toBe(true);
    });
});
