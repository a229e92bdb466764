import type { Worker } from "@jayfront/world";
import { environmentDocument, failureDomainId, jobId, taskId, workerId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import type { BatchWork, PendingTask } from "../src/batch-work.js";
import type { CellScheduler } from "../src/cell-scheduler.js";
import { createCellScheduler } from "../src/cell-scheduler.js";

const document = environmentDocument.parse({
    teams: { rich: { weight: 2 }, poor: {}, capped: { quota: 0.25 } },
    services: { render: { team: "rich", targetMs: 100, endpoint: { cores: 4, memory: 8 } } },
    batchClasses: { path: {} },
    failureDomains: { one: { region: "east" } },
});
const worker = (name: string, cores = 20): Worker => ({
    id: workerId(name),
    failureDomain: failureDomainId("one"),
    rack: "r1",
    address: "127.0.0.1:1",
    resources: { cores, memory: 100, accelerators: 0 },
    slots: 8,
    connections: 64,
    state: "live",
});
const work = (job: string, team: string, changes: Partial<BatchWork> = {}): BatchWork => ({
    key: `${job}/0`,
    job: jobId(job),
    team,
    batchClass: "path",
    resources: { cores: 2, memory: 2, accelerators: 0 },
    runTime: 10,
    deadline: Infinity,
    payload: "",
    ...changes,
});
const pending = (count: number): readonly PendingTask[] =>
    [...Array(count).keys()].map(index => ({ index, attempt: 1, checkpoint: undefined, evictions: 0, failedOn: [] }));
const createScheduler = (workers: readonly Worker[]): CellScheduler => {
    const scheduler = createCellScheduler({ document: () => document, random: xoroshiro128plus(1) });
    workers.forEach(entry => {
        scheduler.putWorker(entry);
        scheduler.setUsable(entry.id, true);
    });
    return scheduler;
};
/** Places all that can start now and counts the placements by team. */
const placeAll = (scheduler: CellScheduler): Record<string, number> => {
    const counts: Record<string, number> = {};
    for (const placement of scheduler.place(1_000, () => Infinity)) {
        counts[placement.work.team] = (counts[placement.work.team] ?? 0) + 1;
    }
    return counts;
};

describe("cell scheduler", () => {
    it("gives tasks no more resources than endpoints leave free", () => {
        const scheduler = createScheduler([worker("a", 10)]);
        scheduler.addWork(work("job", "poor"), pending(50));
        expect(placeAll(scheduler)).toEqual({ poor: 3 });
        expect(scheduler.account(workerId("a"))?.free().cores).toBe(0);
    });

    it("divides capacity between teams by weight", () => {
        const scheduler = createScheduler([worker("a", 64), worker("b", 64), worker("c", 64)]);
        scheduler.addWork(work("one", "rich"), pending(50));
        scheduler.addWork(work("two", "poor"), pending(50));
        expect(placeAll(scheduler)).toEqual({ rich: 12, poor: 6 });
    });

    it("keeps a team within its quota", () => {
        const scheduler = createScheduler([worker("a"), worker("b")]);
        scheduler.addWork(work("job", "capped"), pending(50));
        expect(placeAll(scheduler)).toEqual({ capped: 5 });
    });

    it("starts the work with the least laxity first", () => {
        const scheduler = createScheduler([worker("a", 6)]);
        scheduler.addWork(work("late", "poor"), pending(2));
        scheduler.addWork(work("soon", "poor", { deadline: performance.now() + 20_000 }), pending(2));
        expect(scheduler.place(1, () => Infinity)[0]?.task).toBe(taskId(jobId("soon"), 0));
    });

    it("starts no task at or above the index limit, and none on an unusable worker", () => {
        const scheduler = createScheduler([worker("a")]);
        scheduler.addWork(work("job", "poor"), pending(10));
        expect(scheduler.place(10, () => 2).map(placement => placement.pending.index)).toEqual([0, 1]);
        scheduler.setUsable(workerId("a"), false);
        expect(scheduler.place(10, () => Infinity)).toEqual([]);
    });

    it("places a task on another worker than the one on which it failed", () => {
        const scheduler = createScheduler([worker("a", 64), worker("b")]);
        scheduler.addWork(work("job", "poor"), [{ ...pending(1)[0] as PendingTask, failedOn: [workerId("a")] }]);
        expect(scheduler.place(1, () => Infinity)[0]?.worker).toBe("b");
    });

    it("raises the memory of a job only once when several tasks ran out, up to that of the largest worker", () => {
        const scheduler = createScheduler([worker("a", 64)]);
        const small = work("job", "poor");
        scheduler.addWork(small, pending(10));
        for (let task = 0; task < 5; task += 1) {
            scheduler.recordOutOfMemory(small, 2);
        }
        expect(scheduler.place(1, () => Infinity)[0]?.start.resources.memory).toBe(4);
        const limited = createScheduler([worker("a", 64)]);
        limited.addWork(small, pending(10));
        limited.recordOutOfMemory(small, 80);
        expect(limited.place(1, () => Infinity)[0]?.start.resources.memory).toBe(92);
    });
});
