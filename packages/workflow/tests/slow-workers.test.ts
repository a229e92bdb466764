import type { FailureDomainId, WorkerId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import type { WorkerSpeeds } from "../src/policy/worker-speeds.js";
import { createWorkerSpeeds } from "../src/policy/worker-speeds.js";
import type { TestCell } from "./test-cell.js";
import { createTestCell } from "./test-cell.js";

/** Queue whose workflows have an objective of `slackFactor` run times. */
const slackQueue = (slackFactor: number) => ({ priority: 2, slackFactor, latencyTarget: 0 });

describe("a pass with a slow worker", () => {
    let speeds: WorkerSpeeds;
    let cell: TestCell;
    const slow = "w-0" as WorkerId;
    const startsOn = (worker: WorkerId): number => cell.runRegistry.ofWorker(worker).size;
    beforeEach(() => {
        jest.useFakeTimers();
        speeds = createWorkerSpeeds();
        cell = createTestCell({ workers: 4, cpu: 10_000, runTime: 1_000, speeds });
        [...cell.workers.keys()].forEach(id => {
            speeds.record(id, { run: {}, slowness: id === slow ? 5 : 1, spread: 0.35 });
        });
        speeds.review();
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    // Guards against urgent callers who wait for a worker on which everything takes five times as long.
    it("starts no urgent task there, even if all others are full", () => {
        cell.submit({}, [{ count: 40, cpu: 1_000 }]);
        cell.scheduler.runPass();
        expect(startsOn(slow)).toBe(0);
        expect([...cell.runRegistry.all()]).toHaveLength(30);
    });

    // Guards against a probe that delays work which has no time for it, and against a second probe.
    it("starts one task with slack there, but none without", () => {
        cell.submit(slackQueue(2), [{ count: 40, cpu: 1_000 }]);
        cell.scheduler.runPass();
        expect(startsOn(slow)).toBe(0);
        cell.submit(slackQueue(20), [{ count: 4, cpu: 1_000 }]);
        cell.scheduler.runPass();
        expect(startsOn(slow)).toBe(1);
    });

    // Guards against a worker that nothing measures any more, so that it never comes back.
    it.each([
        ["work without slack", 4_000, slackQueue(2)],
        ["urgent work", 30_000, {}],
    ])("starts one task of %s there once the last measurement is old", (...[, age, queue]) => {
        jest.advanceTimersByTime(age);
        cell.submit(queue, [{ count: 40, cpu: 1_000 }]);
        cell.scheduler.runPass();
        expect(startsOn(slow)).toBe(1);
    });

    // Guards against a worker that stays slow for long after it has recovered: work off its rack, which
    // measures nothing, took the place of the task that would have measured it.
    it("leaves the place to a task that measures its speed", () => {
        cell.submit(slackQueue(30), [{ count: 40, cpu: 1_000, preferredRack: "r-2" }]);
        cell.scheduler.runPass();
        expect(startsOn(slow)).toBe(0);
        cell.submit(slackQueue(30), [{ count: 40, cpu: 1_000 }]);
        cell.scheduler.runPass();
        expect(startsOn(slow)).toBe(1);
    });

    // Guards against a worker that is lost for good where only work comes that measures nothing.
    it("is used by work that measures nothing once nothing else has come for long", () => {
        jest.advanceTimersByTime(30_000);
        cell.submit(slackQueue(90), [{ count: 40, cpu: 1_000, preferredRack: "r-2" }]);
        cell.scheduler.runPass();
        expect(startsOn(slow)).toBeGreaterThan(0);
    });

    // Guards against long-running tasks that stay without a run since the only room is on a slow worker.
    it("starts a long-running task there if there is no other room", () => {
        cell.submit({}, [{ count: 31, cpu: 1_000, isLasting: true }]);
        cell.scheduler.runPass();
        expect(startsOn(slow)).toBe(1);
    });

    // Guards against tasks that wait for ever since only slow workers have what they need.
    it("starts urgent tasks there if they could run nowhere else", () => {
        cell.workers.get(slow)?.resources.setCapacity({ cpu: 20_000, memory: 64_000, accelerators: 0 });
        cell.submit({}, [{ cpu: 12_000 }]);
        cell.scheduler.runPass();
        expect(startsOn(slow)).toBe(1);
    });

    // Guards against a worker in the first seconds of its life that slows urgent work beside idle warm ones.
    it("keeps cold workers for work with slack", () => {
        const cold = ["w-1", "w-2", "w-3"] as WorkerId[];
        cold.slice(0, 2).forEach(id => {
            const session = cell.workers.get(id)?.session;
            const entry = session?.entry();
            session?.setEntry(entry && { ...entry, coldUntil: performance.now() + 5_000 });
        });
        cell.submit({}, [{ count: 10, cpu: 1_000 }]);
        cell.submit(slackQueue(3), [{ count: 2, cpu: 1_000 }]);
        cell.scheduler.runPass();
        expect(cold.map(startsOn)).toEqual([1, 1, 10]);
        jest.advanceTimersByTime(5_000);
        cell.submit({}, [{ count: 4, cpu: 1_000 }]);
        cell.scheduler.runPass();
        expect(cold.map(startsOn)).toEqual([3, 3, 10]);
    });
});

// Guards against measurements of speed that move work among workers which differ by chance.
it("a pass places tasks as before while the speeds of all workers are within noise", () => {
    const placeOn = (speeds: WorkerSpeeds): readonly string[] => {
        const cell = createTestCell({ workers: 6, cpu: 10_000, runTime: 1_000, speeds });
        cell.submit({}, [{ count: 7, cpu: 2_000 }, { count: 9, cpu: 1_500, isLasting: true }]);
        cell.submit(slackQueue(3), [{ count: 11, cpu: 1_000 }, { count: 9, cpu: 1_000, usesSpareCpu: true }]);
        cell.scheduler.runPass();
        return [...cell.runRegistry.all()].map(({ task, worker }) => `${task} ${worker}`);
    };
    const noisy = createWorkerSpeeds();
    [0.6, 1.9, 1, 1.4, 0.8, 1.7].forEach((slowness, index) => {
        noisy.record(`w-${String(index)}` as WorkerId, { run: {}, slowness, spread: 0.35 });
    });
    noisy.review();
    jest.useFakeTimers();
    expect(placeOn(noisy)).toEqual(placeOn(createWorkerSpeeds()));
    jest.useRealTimers();
});

// Guards against a wave of starts on cold workers when a failure domain is open again.
describe("passes after a failure domain was reopened", () => {
    const domain = "east-a" as FailureDomainId;
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    it("fill it by degrees, except for long-running tasks without a run", () => {
        const cell = createTestCell({ workers: 10, cpu: 10_000, runTime: 1_000 });
        cell.domainRamp.recordDomainReopened(domain);
        cell.submit({}, [{ count: 100, cpu: 1_000 }]);
        const runsAfter = (milliseconds: number): number => {
            jest.advanceTimersByTime(milliseconds);
            cell.scheduler.runPass();
            return [...cell.runRegistry.all()].length;
        };
        expect([0, 0, 1_000, 1_500, 2_500].map(runsAfter)).toEqual([10, 10, 20, 50, 100]);
    });
    it("start long-running tasks without a run at once", () => {
        const cell = createTestCell({ workers: 10, cpu: 10_000, runTime: 1_000 });
        cell.domainRamp.recordDomainReopened(domain);
        cell.submit({}, [{ count: 10, cpu: 1_000 }]);
        cell.scheduler.runPass();
        cell.submit({}, [{ count: 1, cpu: 1_000, isLasting: true }]);
        cell.scheduler.runPass();
        expect([...cell.runRegistry.all()].filter(({ step }) => step.isLasting)).toHaveLength(1);
    });
});
