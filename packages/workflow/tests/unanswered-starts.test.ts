import type { JobId, WorkerId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import { createRun } from "../src/cell/create-run.js";
import { createLateOrders } from "../src/cell/late-orders.js";
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

describe("starts without answer", () => {
    let starts: UnansweredStarts;
    let noteSign: () => void;
    beforeEach(() => {
        jest.useFakeTimers();
        const lateOrders = createLateOrders();
        noteSign = lateOrders.note;
        starts = createUnansweredStarts({ lateOrderTime, lateOrders });
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    it("bind their tasks to the worker while they may come, in times of late orders", () => {
        const run = createTaskRun();
        starts.note(run);
        expect(starts.placeOf(run.task)).toBeUndefined();
        noteSign();
        expect(starts.placeOf(run.task)).toBe(worker);
        jest.advanceTimersByTime(lateOrderTime);
        expect(starts.placeOf(run.task)).toBeUndefined();
    });

    it("bind a task that lasts for less, since it may not stay away", () => {
        const run = createTaskRun(true);
        noteSign();
        starts.note(run);
        expect(starts.placeOf(run.task)).toBe(worker);
        jest.advanceTimersByTime(5_000);
        expect(starts.placeOf(run.task)).toBeUndefined();
    });

    it("keep a task waiting from a birth of the worker until the new life has heard of it", async () => {
        const run = createTaskRun();
        noteSign();
        starts.note(run);
        let answer: (isAnswered: boolean) => void = () => undefined;
        const answered = new Promise<boolean>(resolve => {
            answer = resolve;
        });
        starts.noteReborn({ id: worker, stop: () => answered } as unknown as WorkerSession);
        expect(starts.placeOf(run.task)).toBe("nowhere");
        answer(true);
        await answered;
        await Promise.resolve();
        expect(starts.placeOf(run.task)).toBe(worker);
    });

    it("let go of a task whose start was carried out after all, or whose worker is gone", () => {
        const run = createTaskRun();
        noteSign();
        starts.note(run);
        starts.noteSeen(run);
        expect(starts.placeOf(run.task)).toBeUndefined();
        starts.note(run);
        starts.noteGone(worker);
        expect(starts.placeOf(run.task)).toBeUndefined();
    });
});
