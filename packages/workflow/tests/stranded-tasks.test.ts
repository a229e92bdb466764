import type { JobId, WorkerId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import { createRun } from "../src/cell/create-run.js";
import { createRunRegistry } from "../src/cell/run-registry.js";
import { findStrandedTasks } from "../src/cell/stranded-tasks.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import type { TaskName } from "../src/model/task-name.js";
import { taskName } from "../src/model/task-name.js";
import { testQueue } from "./test-queue.js";

const id = "00000000000000aa" as JobId;

describe("tasks that have found no room", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    // Guards against a task that lost its run and waits on, since tasks that never ran take the room in another cell.
    it("move in the order of need: those that ran before come first", () => {
        const steps = [createStep({ count: 4, isLasting: true })];
        const ledger = createWorkflowLedger({ id, queue: testQueue, payload: "", steps, acceptedAt: 0 });
        const at = (index: number) => ({ occurrence: 0, step: 0, index });
        [2, 3].forEach(index => {
            ledger.recordStart(at(index));
        });
        ledger.markWaiting(at(2));
        const record = ledger.stage(at(0))?.record;
        if (record !== undefined) {
            record.noRoomSince = performance.now();
        }
        jest.advanceTimersByTime(1_000);
        const [found] = findStrandedTasks({
            ledgers: [ledger],
            runRegistry: createRunRegistry(),
            isHeldBack: () => false,
            constraintOf: () => undefined,
        });
        expect(found?.movable()).toEqual([2, 0, 1]);
    });

    // Guards against two runs of one task: a run here that is about to stop, or a start order without an answer.
    it("stay as long as a run of them goes on or may still start", () => {
        const steps = [createStep({ count: 3, isLasting: true })];
        const ledger = createWorkflowLedger({ id, queue: testQueue, payload: "", steps, acceptedAt: 0 });
        const record = ledger.openStages(0, performance.now())[0]?.record;
        if (record !== undefined) {
            record.noRoomSince = performance.now();
        }
        jest.advanceTimersByTime(1_000);
        const nameOf = (index: number): TaskName => taskName({ job: id, occurrence: 0, step: 0, index });
        const position = { job: id, occurrence: 0, step: 0, index: 0 };
        const [step = createStep()] = steps;
        const worker = "w-0" as WorkerId;
        const runRegistry = createRunRegistry();
        const run = createRun({ task: nameOf(0), position, number: 1, worker, ledger, step, checkpoint: "" });
        runRegistry.add(run);
        let constraint: WorkerId | undefined = worker;
        const [found] = findStrandedTasks({
            ledgers: [ledger],
            runRegistry,
            isHeldBack: () => false,
            constraintOf: task => task === nameOf(1) ? constraint : undefined,
        });
        expect(found?.movable()).toEqual([2]);
        constraint = undefined;
        runRegistry.remove(run);
        expect(found?.movable()).toEqual([0, 1, 2]);
    });
});
