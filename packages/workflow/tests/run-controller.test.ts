import type { JobId, WorkerId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";

import { createRunController } from "../src/cell/run-controller.js";
import type { WorkerSession } from "../src/cell/worker-session.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import { taskName } from "../src/model/task-name.js";
import { runControllerOptions } from "./run-controller-options.js";
import { testQueue } from "./test-queue.js";

const job = "00000000000000a1" as JobId;

describe("the end of a run that an earlier holder of the cell started", () => {
    // Guards against long-running tasks that wait as if they had never run, behind urgent work and its reserve, because
    // their run ended while the cell had no holder.
    it.each(["failed", "stopped"] as const)(
        "lets a long-running task start again as one that has run (%s)",
        outcome => {
            const ledger = createWorkflowLedger({
                id: job,
                queue: testQueue,
                payload: "",
                steps: [createStep({ count: 2, isLasting: true })],
                acceptedAt: Date.now(),
            });
            const position = { job, occurrence: 0, step: 0, index: 1 };
            const controller = createRunController(runControllerOptions({
                epoch: 2,
                ledgerOf: id => id === job ? ledger : undefined,
            }));
            const session = { id: "w-0" as WorkerId, recordEnds: () => undefined } as Partial<WorkerSession>;
            const end = { number: 1, task: taskName(position), run: 3, outcome, checkpoint: "" };
            const report = { clock: 0, bornAt: 0, running: [], ended: [end], hasAllEnds: true };
            controller.applyReport(session as WorkerSession, report, 0, true);
            const record = ledger.stage(position)?.record;
            expect([...record?.started ?? []]).toEqual([1]);
            expect([...record?.waiting ?? []].sort()).toEqual([0, 1]);
        },
    );
});

describe("ends that are stored", () => {
    // Guards against a worker whose list of ends stays full: its session has lapsed and no longer knew that they are stored.
    it("are told again to a session that lists them", () => {
        const told: [bornAt: number, end: number][] = [];
        const controller = createRunController(runControllerOptions({ epoch: 2, ledgerOf: () => undefined }));
        const session = {
            id: "w-0" as WorkerId,
            recordEnds: (...end: [bornAt: number, end: number]) => told.push(end),
        } as Partial<WorkerSession>;
        const end = { number: 7, task: `${job}.0.0.0` as never, run: 3, outcome: "done" as const, checkpoint: "" };
        const report = { clock: 0, bornAt: 5, running: [], ended: [end], hasAllEnds: true };
        controller.applyReport(session as WorkerSession, report, 0, true);
        controller.applyReport(session as WorkerSession, report, 0, true);
        expect(told.at(-1)).toEqual([5, 7]);
    });
});

describe("the run numbers of tasks that never run again", () => {
    const createSession = (): WorkerSession =>
        ({ id: "w-0" as WorkerId, recordEnds: () => undefined } as Partial<WorkerSession>) as WorkerSession;
    const steps = [createStep({ count: 2 })];
    const workflow = { id: job, queue: testQueue, payload: "", steps, acceptedAt: 0 };
    const nameOf = (index: number) => taskName({ job, occurrence: 0, step: 0, index });

    // Guards against a holder that ends for lack of memory after days, since it keeps numbers of each task that ever ran.
    it("are forgotten with the end of a task, or with its workflow", () => {
        const ledger = createWorkflowLedger(workflow);
        const controller = createRunController(runControllerOptions({ epoch: 1, ledgerOf: () => ledger }));
        const endOf = (number: number, index: number, outcome: "done" | "failed") => ({
            number,
            task: nameOf(index),
            run: 5,
            outcome,
            checkpoint: "",
        });
        const ended = [endOf(1, 0, "done"), endOf(2, 1, "failed")];
        controller.applyReport(createSession(), { clock: 0, bornAt: 0, running: [], ended, hasAllEnds: true }, 0, true);
        // Numbers that are kept are those above which the next run of the task gets its own.
        expect([0, 1].map(index => controller.nextNumber(nameOf(index)))).toEqual([1, 6]);
        controller.forgetWorkflow(job);
        expect(controller.nextNumber(nameOf(1))).toBe(1);
    });

    // Guards against a run of a task that is done and goes on, since its number is forgotten.
    it("don't let a worker go on with a run that it reports later", () => {
        const ledger = createWorkflowLedger(workflow);
        const controller = createRunController(runControllerOptions({ epoch: 1, ledgerOf: () => ledger }));
        const stopped: unknown[] = [];
        const session = {
            ...createSession(),
            stop: (...run: unknown[]) => {
                stopped.push(run);
                return Promise.resolve(true);
            },
        } as WorkerSession;
        const end = { number: 1, task: nameOf(0), run: 5, outcome: "done" as const, checkpoint: "" };
        const report = { clock: 0, bornAt: 0, running: [], ended: [end], hasAllEnds: true };
        controller.applyReport(session, report, 0, true);
        const run = { task: nameOf(0), run: 5, checkpoint: "", percent: 0, measure: 0 };
        controller.applyReport(session, { ...report, ended: [], running: [run] }, 0, false);
        expect(stopped).toEqual([[nameOf(0), 5]]);
    });
});
