import type { JobId, WorkerId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import { Result } from "true-myth";

import { createLateOrderDetector } from "../src/cell/late-order-detector.js";
import type { RunController } from "../src/cell/run-controller.js";
import { createRunController } from "../src/cell/run-controller.js";
import type { UnansweredStarts } from "../src/cell/unanswered-starts.js";
import { createUnansweredStarts } from "../src/cell/unanswered-starts.js";
import type { WorkerSession } from "../src/cell/worker-session.js";
import type { Stage } from "../src/ledger/stage.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import { taskName } from "../src/model/task-name.js";
import type { OrderError } from "../src/port/worker-gateway.js";
import { runControllerOptions } from "./run-controller-options.js";
import { testQueue } from "./test-queue.js";

const position = { job: "j" as JobId, occurrence: 0, step: 0, index: 0 };
const task = taskName(position);
const worker = "w-1" as WorkerId;

describe("a start order", () => {
    let unansweredStarts: UnansweredStarts;
    let controller: RunController;
    /** Answers the start order. */
    let answer: (result: Result<number, OrderError>) => void;
    let session: WorkerSession;
    beforeEach(() => {
        jest.useFakeTimers();
        const lateOrderDetector = createLateOrderDetector();
        lateOrderDetector.recordSign();
        unansweredStarts = createUnansweredStarts({
            lateOrderTime: 12_000,
            lateOrderDetector,
            onChange: () => undefined,
        });
        const ledger = createWorkflowLedger({
            id: position.job,
            queue: testQueue,
            payload: "",
            steps: [createStep()],
            acceptedAt: 0,
        });
        const stubs: Partial<WorkerSession> = {
            id: worker,
            start: () =>
                new Promise(resolve => {
                    answer = resolve;
                }),
            stop: () => Promise.resolve(true),
            recordEnds: () => undefined,
        };
        session = stubs as WorkerSession;
        controller = createRunController(runControllerOptions({
            unansweredStarts,
            ledgerOf: () => ledger,
            sessionOf: () => session,
        }));
        controller.start(ledger, ledger.stage(position) as Stage, 0, session);
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    const noAnswer = (): void => {
        answer(Result.err({ kind: "unknown", message: "no answer" }));
    };

    // Guards against a task that runs in two places: its worker was given up before the start counted as unanswered.
    it("is known as unanswered also if its worker was given up meanwhile", async () => {
        controller.dropWorkerRuns(session, false);
        noAnswer();
        await jest.advanceTimersByTimeAsync(10);
        expect(unansweredStarts.constraintOf(task)).toBe(worker);
    });

    // Guards against a failed task that waits although its start was carried out.
    it("does not count as unanswered if the worker has reported the end of its run", async () => {
        await jest.advanceTimersByTimeAsync(5);
        const ended = [{ number: 1, task, run: 1, outcome: "failed" as const, checkpoint: "" }];
        controller.applyReport(session, { clock: 0, bornAt: 1, running: [], ended, hasAllEnds: true }, 0, false);
        noAnswer();
        await jest.advanceTimersByTimeAsync(10);
        expect(unansweredStarts.constraintOf(task)).toBeUndefined();
    });

    // Guards against a task that runs in two places (random day 2200): its late run was still being stopped.
    it("counts as unanswered also while a run that it started late is being stopped", async () => {
        noAnswer();
        await jest.advanceTimersByTimeAsync(10);
        const report = { clock: 0, bornAt: 1, running: [], ended: [], hasAllEnds: true };
        controller.applyReport(session, report, performance.now(), false);
        const lateRun = { task, run: 1, checkpoint: "", percent: 0, measure: 0 };
        controller.applyReport(session, { ...report, running: [lateRun] }, performance.now(), false);
        expect(unansweredStarts.constraintOf(task)).toBe(worker);
    });

    // Guards against a successor that does not know of a start whose sender ended before it gave up the answer.
    it("is known to the next holder once its answer is 200 ms overdue, and until it comes", async () => {
        await jest.advanceTimersByTimeAsync(199);
        const early = unansweredStarts.snapshot().starts.length;
        await jest.advanceTimersByTimeAsync(1);
        const overdue = unansweredStarts.snapshot().starts.length;
        answer(Result.ok(400_000));
        await jest.advanceTimersByTimeAsync(10);
        expect([early, overdue, unansweredStarts.snapshot().starts.length]).toEqual([0, 1, 0]);
    });
});
