import type { JobId, WorkerId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import { createRun } from "../src/cell/create-run.js";
import { recordPace } from "../src/cell/record-pace.js";
import type { Run } from "../src/cell/run.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import { taskName } from "../src/model/task-name.js";
import { testQueue } from "./test-queue.js";

const startRun = (): Run => {
    const position = { job: "00000000000000a1" as JobId, occurrence: 0, step: 0, index: 0 };
    const step = createStep({ usesSpareCpu: true });
    const workflow = { id: position.job, queue: testQueue, payload: "", steps: [step], acceptedAt: 0 };
    return createRun({
        task: taskName(position),
        position,
        number: 1,
        worker: "w-1" as WorkerId,
        ledger: createWorkflowLedger(workflow),
        step,
        checkpoint: "",
    });
};

describe("pace of a run", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    // Guards against a halted task that is stopped as standing still, and its worker blamed, as soon as it works again.
    it("lets the time in which progress is expected begin anew when the run is set to work faster", () => {
        const run = startRun();
        recordPace(run, 0);
        jest.advanceTimersByTime(3_000);
        recordPace(run, 100);
        expect(performance.now() - run.percentChangedAt).toBe(0);
    });

    it("tells since when the run is halted", () => {
        const run = startRun();
        recordPace(run, 0);
        jest.advanceTimersByTime(400);
        recordPace(run, 0);
        jest.advanceTimersByTime(300);
        const haltedFor = performance.now() - run.haltedSince;
        recordPace(run, 50);
        expect([haltedFor, run.haltedSince]).toEqual([700, Infinity]);
    });

    it("tells that a run that was slowed does not show the run time at full speed", () => {
        const [full, slowed] = [startRun(), startRun()];
        recordPace(full, 100);
        recordPace(slowed, 40);
        recordPace(slowed, 100);
        expect([full.hasFullRunTime, slowed.hasFullRunTime]).toEqual([true, false]);
    });
});
