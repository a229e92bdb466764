import type { JobId, WorkerId } from "@jayfront/world";
import { describe, expect, it, jest } from "@jest/globals";
import { Registry } from "prom-client";

import { createRun } from "../src/cell/create-run.js";
import type { RunStatistics } from "../src/cell/run-statistics.js";
import { createRunStatistics } from "../src/cell/run-statistics.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import { taskName } from "../src/model/task-name.js";
import { createWorkflowMetrics } from "../src/workflow-metrics.js";
import { testQueue } from "./test-queue.js";

const worker = "w-1" as WorkerId;

const recordEnd = (statistics: RunStatistics, job: string, outcome: "done" | "failed", took = 0): void => {
    const position = { job: job as JobId, occurrence: 0, step: 0, index: 0 };
    const step = createStep({ count: 1 });
    const ledger = createWorkflowLedger({
        id: position.job,
        queue: testQueue,
        payload: "",
        steps: [step],
        acceptedAt: 0,
    });
    const run = createRun({ task: taskName(position), position, number: 1, worker, ledger, step, checkpoint: "" });
    statistics.health.recordStart(worker);
    if (took > 0) {
        jest.advanceTimersByTime(took);
    }
    statistics.recordEnd({ run, outcome });
};

describe("statistics of a cell's runs", () => {
    const create = (): RunStatistics =>
        createRunStatistics({
            metrics: createWorkflowMetrics(new Registry()),
            queueOf: () => testQueue,
            speedOf: () => 1,
        });

    it("quarantines a worker on which several jobs fail", () => {
        const statistics = create();
        ["a", "b", "c"].forEach(job => {
            recordEnd(statistics, job, "failed");
        });
        expect(statistics.health.allowance(worker)).toBe(0);
    });

    // Guards against a step that seems long since its first task ran on a slow worker.
    it("expects the run times of normal workers from a run on a slow one", () => {
        jest.useFakeTimers();
        const statistics = createRunStatistics({
            metrics: createWorkflowMetrics(new Registry()),
            queueOf: () => testQueue,
            speedOf: () => 0.2,
        });
        recordEnd(statistics, "a", "done", 5_000);
        expect(statistics.runTime("a" as JobId, testQueue, createStep({ count: 1 }), 0)).toBe(1_000);
        jest.useRealTimers();
    });

    it("keeps using a busy worker with few failures among its successes", () => {
        const statistics = create();
        for (let round = 0; round < 60; round += 1) {
            recordEnd(statistics, `job-${String(round)}`, round % 10 === 0 ? "failed" : "done");
            expect(statistics.health.allowance(worker)).toBeGreaterThan(0);
        }
    });

    // Guards against a holder that ends for lack of memory after days, since it keeps a record of each job that ever ran.
    it("forget a workflow that has ended", () => {
        const statistics = create();
        const job = "00000000000000b1" as JobId;
        for (const on of ["w-1", "w-2", "w-3"]) {
            statistics.health.recordEnd(on as WorkerId, job, true);
        }
        recordEnd(statistics, job, "failed");
        const task = taskName({ job, occurrence: 0, step: 0, index: 0 });
        expect([statistics.health.isPoison(job), statistics.hasFailedOn(task, worker)]).toEqual([true, true]);
        statistics.forgetWorkflow(job);
        expect([statistics.health.isPoison(job), statistics.hasFailedOn(task, worker)]).toEqual([false, false]);
    });
});
