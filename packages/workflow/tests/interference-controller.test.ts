import type { JobId, WorkerId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import pino from "pino";

import type { CellWorker } from "../src/cell/cell-workers.js";
import { createRun } from "../src/cell/create-run.js";
import type { InterferenceController } from "../src/cell/interference-controller.js";
import { createInterferenceController } from "../src/cell/interference-controller.js";
import { createResourceAccount } from "../src/cell/resource-account.js";
import type { Run } from "../src/cell/run.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import type { Step } from "../src/model/step.js";
import { taskName } from "../src/model/task-name.js";
import { createInterferenceModel } from "../src/policy/interference-model.js";
import { testQueue } from "./test-queue.js";

const worker = {
    session: { id: "w-1" as WorkerId },
    resources: createResourceAccount({ cpu: 16_000, memory: 64_000, accelerators: 0 }),
} as CellWorker;
/** Milliseconds between two reports of the worker. */
const reportInterval = 500;

describe("paces of spare-CPU tasks", () => {
    let orders: [string, number][];
    let controller: InterferenceController;
    const runOf = (index: number, step: Partial<Step>, reported: Partial<Run>): Run => {
        const position = { job: "00000000000000a1" as JobId, occurrence: 0, step: 0, index };
        const ledger = createWorkflowLedger({
            id: position.job,
            queue: testQueue,
            payload: "",
            steps: [createStep(step)],
            acceptedAt: 0,
        });
        const origin = { task: taskName(position), position, number: 1, worker: worker.session.id, ledger };
        return { ...createRun({ ...origin, step: createStep(step), checkpoint: "" }), phase: "running", ...reported };
    };
    const spareRun = (reported: Partial<Run>): Run =>
        runOf(1, { usesSpareCpu: true, image: "b", cpu: 1_000 }, reported);
    const servingRun = (): Run =>
        runOf(0, { isLasting: true, image: "a", tailTarget: 100, cpu: 4_000 }, { percent: 100, measure: 40 });

    beforeEach(() => {
        jest.useFakeTimers();
        orders = [];
        controller = createInterferenceController({
            model: createInterferenceModel(),
            throttle: (run, percent) => {
                orders.push([run.task, percent]);
                run.pace = percent;
            },
            logger: pino({ level: "silent" }),
        });
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    // Guards against tasks that a former holder has halted, and that then stand still until they are given up.
    it("are ordered once where a former holder set them", () => {
        const runs = [servingRun(), spareRun({ pace: undefined, percent: 20 })];
        controller.review(worker, runs);
        jest.advanceTimersByTime(reportInterval);
        controller.review(worker, runs);
        expect(orders).toEqual([[runs[1]?.task, 100]]);
    });

    // Guards against tasks that a delayed order has halted after a newer order let them work.
    it("are ordered again where the worker reports no progress and no use of processor time", () => {
        const stalledSince = performance.now();
        const runs = [servingRun(), spareRun({ percent: 20, percentChangedAt: stalledSince, measure: 0 })];
        jest.advanceTimersByTime(2 * reportInterval);
        runs.forEach(run => {
            run.reportedAt = performance.now();
        });
        controller.review(worker, runs);
        expect(orders).toEqual([[runs[1]?.task, 100]]);
    });

    it("are not ordered again while the task works as ordered", () => {
        const run = spareRun({ percent: 20, measure: 900 });
        jest.advanceTimersByTime(2 * reportInterval);
        run.reportedAt = performance.now();
        controller.review(worker, [servingRun(), run]);
        expect(orders).toEqual([]);
    });

    // Guards against tasks that start beside halted ones and are halted themselves at the next review.
    it("leave no slack for further harmful tasks while tasks are halted", () => {
        const step = createStep({ usesSpareCpu: true, image: "b", cpu: 1_000 });
        const slackBeside = (pace: number): number => {
            const summary = controller.summarizeServing(worker, [servingRun(), spareRun({ pace })]);
            return controller.slackWith(worker, summary, step, 1_000).after;
        };
        expect([Number.isFinite(slackBeside(100)), slackBeside(0)]).toEqual([true, -Infinity]);
    });
});
