import type { JobId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import { createRunRegistry } from "../src/cell/run-registry.js";
import { findStrandedTasks } from "../src/cell/stranded-tasks.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
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
});
