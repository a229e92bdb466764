import type { JobId, WorkerId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import type { RunController, RunEnd } from "../src/cell/run-controller.js";
import { createRunController } from "../src/cell/run-controller.js";
import { createRunRegistry } from "../src/cell/run-registry.js";
import type { UnansweredStarts } from "../src/cell/unanswered-starts.js";
import { createWorkerCrashes } from "../src/cell/worker-crashes.js";
import type { WorkerSession } from "../src/cell/worker-session.js";
import type { Stage } from "../src/ledger/stage.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import { runControllerOptions } from "./run-controller-options.js";
import { testQueue } from "./test-queue.js";

const job = "00000000000000a1" as JobId;
const position = { job, occurrence: 0, step: 0, index: 0 };
/** Start orders; eight are sent at once. */
const count = 10;

describe("starts that wait for their turn", () => {
    let controller: RunController;
    let session: WorkerSession;
    let sent: number;
    let stops: number;
    let ends: RunEnd[];
    let crashes: number;
    beforeEach(() => {
        jest.useFakeTimers();
        sent = 0;
        stops = 0;
        ends = [];
        crashes = 0;
        const steps = [createStep({ count })];
        const ledger = createWorkflowLedger({ id: job, queue: testQueue, payload: "", steps, acceptedAt: 0 });
        session = {
            id: "w-1" as WorkerId,
            entry: () => ({ address: "w-1:1", isDraining: false }),
            deadline: () => 1,
            failingSince: () => undefined,
            start: () => {
                sent += 1;
                return new Promise(() => undefined);
            },
            stop: () => {
                stops += 1;
                return Promise.resolve(true);
            },
            recordEnds: () => undefined,
        } as unknown as WorkerSession;
        const runRegistry = createRunRegistry();
        controller = createRunController(runControllerOptions({
            unansweredStarts: {
                addOverdue: () => undefined,
                recordLapse: () => undefined,
            } as unknown as UnansweredStarts,
            runRegistry,
            processors: 0.12,
            ledgerOf: () => ledger,
            sessionOf: () => session,
            onRunRemoved: end => ends.push(end),
            onCrash: () => {
                crashes += 1;
            },
            workerCrashes: createWorkerCrashes(runRegistry),
        }));
        for (let index = 0; index < count; index += 1) {
            controller.start(ledger, ledger.stage(position) as Stage, index, session);
        }
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    const outcomes = (): readonly string[] =>
        ends.map(({ run, outcome }) => `${String(run.position.index)} ${outcome}`);

    // Guards against a start that reaches another incarnation, with other labels, than the one it was chosen for.
    it("are not sent to the next incarnation of their worker; their tasks wait again", async () => {
        const sentBefore = sent;
        controller.recordRestart(session);
        await jest.advanceTimersByTimeAsync(5_000);
        expect([sentBefore, sent, outcomes()]).toEqual([8, 8, ["8 not-started", "9 not-started"]]);
    });

    // Guards against a task that is given up for crashes of workers to which it was never sent.
    it("are not blamed for a crash of their worker", () => {
        controller.dropWorkerRuns(session, true);
        expect([crashes, outcomes().slice(0, 2)]).toEqual([8, ["8 not-started", "9 not-started"]]);
    });

    // Guards against starts of a cancelled workflow that keep room until their worker shows that it never ran them.
    it("are dropped at once with their workflow, without a call to their worker", async () => {
        controller.stopWorkflow(job, "the workflow was cancelled");
        const dropped = outcomes();
        await jest.advanceTimersByTimeAsync(5_000);
        expect([dropped, sent, stops]).toEqual([["8 not-started", "9 not-started"], 8, 8]);
    });
});
