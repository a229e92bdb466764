import { describe, expect, it } from "@jest/globals";

import { createStep } from "../src/model/create-step.js";
import type { FreeCapacity, LongRunningCapacity } from "../src/policy/long-running-capacity.js";
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

// Guards against lasting work that is drawn into a full cell and waits there for the rest of its stay, while others
// have room: hosts hear of each other's choices only later, and draw by old figures.
describe("room of a cell for lasting work", () => {
    it.each<[string, LongRunningCapacity, boolean]>([
        ["an empty cell", cell(workers(20)), true],
        ["a cell whose holes are too small", cell(workers(40, { cpu: 12_000, memory: 256_000 })), false],
        ["a cell without memory", cell(workers(20, { cpu: 64_000, memory: 10_000 })), false],
        ["a cell in which as much waits already", cell(workers(10), 400_000), false],
    ])("%s", (...[, room, expected]) => {
        expect(hasCapacityForLongRunning([lasting], room)).toBe(expected);
    });

    it("is kept for what comes and goes", () => {
        const large = createStep({ count: 24, cpu: 15_500, memory: 26_000, isLasting: true });
        expect(hasCapacityForLongRunning([large], cell(workers(6)))).toBe(false);
        expect(hasCapacityForLongRunning([large], cell(workers(7)))).toBe(true);
    });

    it("counts no more tasks on a worker than the step allows", () => {
        const apart = createStep({ count: 24, cpu: 13_000, memory: 26_000, isLasting: true, perWorkerLimit: 1 });
        expect(hasCapacityForLongRunning([apart], cell(workers(23)))).toBe(false);
        expect(hasCapacityForLongRunning([apart], cell(workers(24)))).toBe(true);
    });

    it("does not bind what comes and goes", () => {
        expect(hasCapacityForLongRunning([createStep({ count: 100, cpu: 64_000 })], cell([]))).toBe(true);
    });
});
