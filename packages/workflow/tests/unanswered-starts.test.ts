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

const createTaskRun = (isLasting = false, on = worker): Run => {
    const position = { job: "j" as JobId, occurrence: 0, step: 0, index: 0 };
    const step = createStep({ isLasting });
    const ledger = createWorkflowLedger({
        id: position.job,
        queue: testQueue,
        payload: "",
        steps: [step],
        acceptedAt: 0,
    });
    return createRun({ task: taskName(position), position, number: 1, worker: on, ledger, step, checkpoint: "" });
};

describe("unanswered starts", () => {
    let starts: UnansweredStarts;
    let recordSign: () => void;
    /** Number of changes that the next holder has to know of. */
    let changes: number;
    const createStarts = (): UnansweredStarts => {
        const lateOrderDetector = createLateOrderDetector();
        recordSign = lateOrderDetector.recordSign;
        return createUnansweredStarts({
            lateOrderTime,
            lateOrderDetector,
            onChange: () => {
                changes += 1;
            },
        });
    };
    beforeEach(() => {
        jest.useFakeTimers();
        changes = 0;
        starts = createStarts();
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    // Guards against two runs of a task: the next holder waits only for the workers that the row names, and the run on the
    // other one was left out once its start had been answered.
    it("name an answered start to the next holder while an earlier one of the task has no answer", () => {
        const unanswered = createTaskRun(true);
        const answered = createTaskRun(true, "w-2" as WorkerId);
        const named = (): readonly string[] => starts.snapshot().starts.map(start => start.worker);
        starts.add(unanswered);
        starts.addOverdue(answered);
        starts.remove(answered.worker, answered.task, answered.number);
        expect(named()).toEqual(["w-1", "w-2"]);
        recordSign();
        expect(starts.constraintOf(answered.task)).toBe(worker);
        starts.remove(worker, unanswered.task, unanswered.number);
        expect([named(), starts.hasAny(answered.task)]).toEqual([[], false]);
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
            starts.recordRestart(session, 0);
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
        starts.recordRestart({ id: "w-2", stop: () => Promise.resolve(true) } as unknown as WorkerSession, 0);
        starts.add(run);
        expect(starts.constraintOf(run.task)).toBe("nowhere");
    });

    // Guards against needless waits after a takeover, when the stored entry of a worker predates a restart long ago.
    it("don't keep a task waiting because of a restart more than a minute ago", () => {
        const run = createTaskRun();
        recordSign();
        starts.recordRestart({ id: "w-2", stop: () => Promise.resolve(true) } as unknown as WorkerSession, 60_000);
        starts.add(run);
        expect(starts.constraintOf(run.task)).toBe(worker);
    });

    it("no longer restrict a task whose start was carried out after all", () => {
        const run = createTaskRun();
        recordSign();
        starts.add(run);
        starts.remove(run.worker, run.task, run.number);
        expect(starts.constraintOf(run.task)).toBeUndefined();
    });

    // Guards against a task that runs in two places since the later of two unanswered starts hid the earlier one.
    it("let a task start nowhere if two workers may carry out starts of it", () => {
        recordSign();
        starts.add(createTaskRun());
        const run = createTaskRun(false, "w-2" as WorkerId);
        starts.add(run);
        expect(starts.constraintOf(run.task)).toBe("nowhere");
    });

    // Guards against a task that the next holder of the cell starts elsewhere while its start may be carried out.
    it("restrict their tasks also under the next holder, for as long as if it had sent the orders", () => {
        const run = createTaskRun();
        recordSign();
        starts.add(run);
        jest.advanceTimersByTime(4_000);
        const stored = starts.snapshot();
        starts = createStarts();
        expect(starts.inherit(stored)).toMatchObject([{ worker, orderedAt: run.orderedAt }]);
        jest.advanceTimersByTime(lateOrderTime - 4_001);
        expect(starts.constraintOf(run.task)).toBe(worker);
        jest.advanceTimersByTime(1);
        expect(starts.constraintOf(run.task)).toBeUndefined();
    });

    // Guards against the same if workers have restarted, which the next holder can't see from their entries.
    it("keep a task waiting under the next holder if a worker restarted under an earlier one", () => {
        const run = createTaskRun();
        starts.recordRestart({ id: "w-2", stop: () => Promise.resolve(true) } as unknown as WorkerSession, 0);
        recordSign();
        starts.add(run);
        const stored = starts.snapshot();
        starts = createStarts();
        starts.inherit(stored);
        expect(starts.constraintOf(run.task)).toBe("nowhere");
    });

    // Guards against the same if the holder ends before it gives up waiting for the answer.
    it("are known to the next holder as soon as an answer is overdue, and until it comes", () => {
        const run = createTaskRun();
        starts.addOverdue(run);
        expect([changes, starts.snapshot().starts]).toMatchObject([1, [{ task: run.task, run: 1, worker }]]);
        starts.remove(run.worker, run.task, run.number);
        expect([changes, starts.snapshot().starts]).toEqual([2, []]);
    });
});
