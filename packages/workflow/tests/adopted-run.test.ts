import type { CellId, JobId, WorkerId } from "@jayfront/world";
import { beforeEach, describe, expect, it } from "@jest/globals";

import { createLateOrderDetector } from "../src/cell/late-order-detector.js";
import type { RunController } from "../src/cell/run-controller.js";
import { createRunController } from "../src/cell/run-controller.js";
import type { RunRegistry } from "../src/cell/run-registry.js";
import { createRunRegistry } from "../src/cell/run-registry.js";
import { createUnansweredStarts } from "../src/cell/unanswered-starts.js";
import type { WorkerSession } from "../src/cell/worker-session.js";
import type { WorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import type { TaskName } from "../src/model/task-name.js";
import { taskName } from "../src/model/task-name.js";
import { runControllerOptions } from "./run-controller-options.js";
import { testQueue } from "./test-queue.js";

const id = "00000000000000aa" as JobId;
const worker = "w-0" as WorkerId;
const other = "east-b/0" as CellId;
const nameOf = (index: number): TaskName => taskName({ job: id, occurrence: 0, step: 0, index });

describe("a holder's runs of a workflow of which another cell runs a task", () => {
    let ledger: WorkflowLedger;
    let runRegistry: RunRegistry;
    let stopped: TaskName[];
    let controller: RunController;
    let session: Partial<WorkerSession>;

    beforeEach(() => {
        const steps = [createStep({ count: 2, isLasting: true })];
        ledger = createWorkflowLedger({ id, queue: testQueue, payload: "", steps, acceptedAt: 0 });
        ledger.recordTransfer({ occurrence: 0, step: 0, index: 1, lastRun: 3 }, other);
        ledger.markStored(ledger.revision());
        runRegistry = createRunRegistry();
        stopped = [];
        session = {
            id: worker,
            stop: task => {
                stopped.push(task);
                return Promise.resolve(true);
            },
        };
        controller = createRunController(runControllerOptions({
            unansweredStarts: createUnansweredStarts({
                lateOrderTime: 12_000,
                lateOrderDetector: createLateOrderDetector(),
                onChange: () => undefined,
            }),
            runRegistry,
            ledgerOf: () => ledger,
            sessionOf: () => session as WorkerSession,
        }));
    });

    // Guards against two runs of one task: a run that an earlier holder started here goes on beside that elsewhere.
    it("stops a run of that task which a worker reports, and adopts those of its own", () => {
        const running = [0, 1].map(index => ({ task: nameOf(index), run: 2, checkpoint: "", percent: 0, measure: 0 }));
        controller.applyReport(
            session as WorkerSession,
            { clock: 0, bornAt: 1, running, ended: [], hasAllEnds: true },
            0,
            true,
        );
        expect([...runRegistry.all()].map(run => run.task)).toEqual([nameOf(0)]);
        expect(stopped).toEqual([nameOf(1)]);
    });

    // Guards against a run number that is not above those of the cell that had the task before.
    it("numbers its runs of a task from another cell above the last one there", () => {
        controller.reserveNumbers(nameOf(1), 5_000);
        expect(controller.nextNumber(nameOf(1))).toBeGreaterThan(5_000);
    });

    // Guards against two runs of one task: a late start of a run that was given up is carried out by the next life of its
    // worker, and the task starts elsewhere while that run is still being stopped.
    it("keeps a task from starting while a run of it that is not wanted still works", () => {
        const report = (runs: readonly number[], isFirst: boolean): boolean => {
            const running = runs.map(run => ({ task: nameOf(0), run, checkpoint: "", percent: 0, measure: 0 }));
            const content = { clock: 0, bornAt: 1, running, ended: [], hasAllEnds: true };
            controller.applyReport(session as WorkerSession, content, performance.now(), isFirst);
            return ledger.stage({ occurrence: 0, step: 0, index: 0 })?.record.waiting.has(0) === true;
        };
        const isWaiting = [report([2], true), report([1], true), report([1], false), report([], false)];
        expect({ isWaiting, stopped }).toEqual({ isWaiting: [false, false, false, true], stopped: [nameOf(0)] });
    });
});
