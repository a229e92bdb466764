import type { JobId, WorkerId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import { createRun } from "../src/cell/create-run.js";
import { createLateOrderDetector } from "../src/cell/late-order-detector.js";
import type { Run } from "../src/cell/run.js";
import type { UnansweredStarts } from "../src/cell/unanswered-starts.js";
import { createUnansweredStarts } from "../src/cell/unanswered-starts.js";
import type { WorkerSession } from "../src/cell/worker-session.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import { taskName } from "../src/model/task-name.js";
import { testQueue } from "./test-queue.js";

const worker = "w-1" as WorkerId;
const lateOrderTime = 12_000;

const createTaskRun = (isLasting = false): Run => {
    const position = { job: "j" as JobId, occurrence: 0, step: 0, index: 0 };
    const step = createStep({ isLasting });
    const ledger = createWorkflowLedger({
        id: position.job,
        queue: testQueue,
        payload: "",
        steps: [step],
        acceptedAt: 0,
    });
    return createRun({ task: taskName(position), position, number: 1, worker, ledger, step, checkpoint: "" });
};

describe("unanswered starts", () => {
    let starts: UnansweredStarts;
    let recordSign: () => void;
    beforeEach(() => {
        jest.useFakeTimers();
        const lateOrderDetector = createLateOrderDetector();
        recordSign = lateOrderDetector.recordSign;
        starts = createUnansweredStarts({ lateOrderTime, lateOrderDetector });
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    it("restrict their tasks to the worker while they may be carried out late", () => {
        const run = createTaskRun();
        starts.add(run);
        expect(starts.constraintOf(run.task)).toBeUndefined();
        recordSign();
        expect(starts.constraintOf(run.task)).toBe(worker);
        jest.advanceTimersByTime(lateOrderTime);
        expect(starts.constraintOf(run.task)).toBeUndefined();
    });

    it("restrict a long-running task for a shorter time, since it may not be absent for long", () => {
        const run = createTaskRun(true);
        recordSign();
        starts.add(run);
        expect(starts.constraintOf(run.task)).toBe(worker);
        jest.advanceTimersByTime(5_000);
        expect(starts.constraintOf(run.task)).toBeUndefined();
    });

    // Guards against a start that was sent to one incarnation and is carried out by a later one after the task is done.
    it.each<[string, (session: WorkerSession) => void]>([
        ["a restart of the worker", session => {
            starts.recordRestart(session);
        }],
        ["the expiry of the worker's leases", ({ id }) => {
            starts.recordLapse(id);
        }],
    ])("keep a task waiting from %s until they can no longer be carried out", async (...[, end]) => {
        const run = createTaskRun();
        recordSign();
        starts.add(run);
        end({ id: worker, stop: () => Promise.resolve(true) } as unknown as WorkerSession);
        await jest.advanceTimersByTimeAsync(lateOrderTime - 1);
        recordSign();
        expect(starts.constraintOf(run.task)).toBe("nowhere");
        jest.advanceTimersByTime(1);
        expect(starts.constraintOf(run.task)).toBeUndefined();
    });

    // Guards against the same if the worker restarts only after the task was done there.
    it("keep a task waiting while other workers restart", () => {
        const run = createTaskRun();
        recordSign();
        starts.recordRestart({ id: "w-2", stop: () => Promise.resolve(true) } as unknown as WorkerSession);
        starts.add(run);
        expect(starts.constraintOf(run.task)).toBe("nowhere");
    });

    it("no longer restrict a task whose start was carried out after all", () => {
        const run = createTaskRun();
        recordSign();
        starts.add(run);
        starts.markCarriedOut(run);
        expect(starts.constraintOf(run.task)).toBeUndefined();
    });
});
