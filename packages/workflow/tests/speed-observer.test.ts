import type { JobId, WorkerId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import { createRun } from "../src/cell/create-run.js";
import { createRunRegistry } from "../src/cell/run-registry.js";
import type { Run } from "../src/cell/run.js";
import type { SpeedObserver } from "../src/cell/speed-observer.js";
import { createSpeedObserver } from "../src/cell/speed-observer.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import type { Step } from "../src/model/step.js";
import { taskName } from "../src/model/task-name.js";
import { testQueue } from "./test-queue.js";

const worker = "w-1" as WorkerId;
const position = { job: "a" as JobId, occurrence: 0, step: 0, index: 0 };
const task = taskName(position);
/** Reading of the worker's clock at the start, which differs from this host's. */
const firstReading = 400_000;

describe("the speed of a worker by the reports of a run that should take a second", () => {
    let observer: SpeedObserver;
    let recorded: number[];
    /** Speed of the worker as far as it is known. */
    let speed: number;
    const runRegistry = createRunRegistry();
    const begin = (changes: Partial<Step> = {}): Run => {
        const step = createStep(changes);
        const ledger = createWorkflowLedger({
            id: position.job,
            queue: testQueue,
            payload: "",
            steps: [step],
            acceptedAt: 0,
        });
        const run = createRun({ task, position, number: 1, worker, ledger, step, checkpoint: "" });
        run.phase = "running";
        runRegistry.add(run);
        return run;
    };
    /** A report `clock` ms after the start on the worker's clock, which arrives `delay` ms later. */
    const report = (clock: number, percent: number, delay = 0): void => {
        jest.advanceTimersByTime(delay);
        const row = { task, run: 1, checkpoint: "", percent, measure: 0 };
        const end = { number: 1, task, run: 1, outcome: "done" as const, checkpoint: "" };
        observer.observe(worker, {
            clock: firstReading + clock,
            bornAt: 0,
            running: percent < 100 ? [row] : [],
            ended: percent < 100 ? [] : [end],
            hasAllEnds: true,
        });
    };
    beforeEach(() => {
        jest.useFakeTimers();
        recorded = [];
        speed = 1;
        observer = createSpeedObserver({
            runRegistry,
            speeds: {
                speedOf: () => speed,
                record: (...[, { slowness }]) => recorded.push(Math.round(slowness * 10) / 10),
            },
            expectationOf: () => ({ time: 1_000, spread: 0.35 }),
            rackOf: () => "r-1",
        });
    });
    afterEach(() => {
        [...runRegistry.all()].forEach(runRegistry.remove);
        jest.useRealTimers();
    });

    // Guards against a slow worker that is found only when its runs have ended, five times too late.
    it("is measured while the run goes on, part by part", () => {
        begin();
        report(0, 0);
        report(500, 10);
        report(1_000, 60);
        report(1_400, 100);
        expect(recorded).toEqual([5, 1, 1]);
    });

    // Guards against workers that seem slow since this host reads their reports late.
    it("does not depend on the delay of the reports", () => {
        begin();
        report(0, 0);
        report(500, 50, 3_000);
        expect(recorded).toEqual([1]);
    });

    // Guards against the loss of all measurements where runs are shorter than the time between reports.
    it("is measured by the whole run if its parts were not", () => {
        begin();
        jest.advanceTimersByTime(4_000);
        report(3_990, 99);
        jest.advanceTimersByTime(100);
        report(4_090, 100);
        expect(recorded).toEqual([4.1]);
    });

    // Guards against a run that stands still and tells nothing, and against one whose progress is not reported.
    it("is measured by a run without progress once it is long overdue", () => {
        begin();
        report(0, 0);
        report(2_000, 0);
        report(5_000, 0);
        expect(recorded).toEqual([5]);
    });

    // Guards against a slow worker that stays slow for long where all work with slack runs on spare processor time.
    it("is measured by a run on spare processor time only as far as it shows that a slow worker has recovered", () => {
        speed = 0.2;
        begin({ usesSpareCpu: true });
        report(0, 0);
        report(500, 10);
        report(1_000, 60);
        expect(recorded).toEqual([1]);
    });

    // Guards against a worker that is blamed for what slows a run on every worker.
    it.each<[string, Partial<Step>]>([
        ["off the rack of its data", { preferredRack: "r-2" }],
        ["on spare processor time, which others take", { usesSpareCpu: true }],
        ["of a gang, which waits for its slowest member", { isGang: true }],
        ["that is long-running", { isLasting: true }],
    ])("is not measured by a run %s", (...[, step]) => {
        begin(step);
        report(0, 0);
        report(2_000, 10);
        report(5_000, 100);
        expect(recorded).toEqual([]);
    });
});
