import type { JobId, WorkerId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import { Result } from "true-myth";

import type { RunController, RunEnd } from "../src/cell/run-controller.js";
import { createRunController } from "../src/cell/run-controller.js";
import { createRunRegistry } from "../src/cell/run-registry.js";
import type { UnansweredStarts } from "../src/cell/unanswered-starts.js";
import { createWorkerCrashes } from "../src/cell/worker-crashes.js";
import type { WorkerSession } from "../src/cell/worker-session.js";
import type { Stage } from "../src/ledger/stage.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import type { WorkerReport } from "../src/port/worker-gateway.js";
import { runControllerOptions } from "./run-controller-options.js";
import { testQueue } from "./test-queue.js";

const job = "00000000000000a1" as JobId;
const position = { job, occurrence: 0, step: 0, index: 0 };
const report: WorkerReport = { clock: 0, bornAt: 1, running: [], ended: [], hasAllEnds: true };

describe("a report that lists neither a run nor all ends of its worker", () => {
    let controller: RunController;
    let session: WorkerSession;
    let outcomes: RunEnd["outcome"][];
    let crashes: number;
    beforeEach(async () => {
        jest.useFakeTimers();
        outcomes = [];
        crashes = 0;
        const steps = [createStep()];
        const ledger = createWorkflowLedger({ id: job, queue: testQueue, payload: "", steps, acceptedAt: 0 });
        session = {
            id: "w-1" as WorkerId,
            entry: () => ({ address: "w-1:1", isDraining: false }),
            deadline: () => 1,
            failingSince: () => undefined,
            start: () => Promise.resolve(Result.ok(1)),
            stop: () => Promise.resolve(true),
            recordEnds: () => undefined,
        } as unknown as WorkerSession;
        const runRegistry = createRunRegistry();
        controller = createRunController(runControllerOptions({
            unansweredStarts: { remove: () => undefined } as unknown as UnansweredStarts,
            runRegistry,
            ledgerOf: () => ledger,
            sessionOf: () => session,
            onRunRemoved: ({ outcome }) => outcomes.push(outcome),
            onCrash: () => {
                crashes += 1;
            },
            workerCrashes: createWorkerCrashes(runRegistry),
        }));
        controller.start(ledger, ledger.stage(position) as Stage, 0, session);
        await jest.advanceTimersByTimeAsync(10);
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    const apply = (hasAllEnds: boolean): void => {
        controller.applyReport(session, { ...report, hasAllEnds }, performance.now(), false);
    };

    // Guards against a task that runs again after it was done (review case 1): its run counted as gone.
    it("keeps the run until a report lists all ends", () => {
        apply(false);
        const kept = [...outcomes];
        apply(true);
        expect([kept, outcomes]).toEqual([[], ["lost"]]);
    });

    // Guards against a task that is not suspected of a crash, since an incomplete report came first.
    it("leaves the run suspected of the worker's crash", () => {
        controller.recordRestart(session);
        apply(false);
        apply(true);
        expect([crashes, outcomes]).toEqual([1, ["lost"]]);
    });
});
