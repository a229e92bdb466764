import type { JobId, WorkerId } from "@jayfront/world";
import { expect, it } from "@jest/globals";

import { createRun } from "../src/cell/create-run.js";
import { createLateOrderDetector } from "../src/cell/late-order-detector.js";
import { createRunRegistry } from "../src/cell/run-registry.js";
import { createUnansweredStarts } from "../src/cell/unanswered-starts.js";
import { findWaitingWorkflows } from "../src/cell/waiting-workflows.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import { taskName } from "../src/model/task-name.js";
import { testQueue } from "./test-queue.js";

// Guards against two runs of a task: a start without an answer is suspected to be late only after the workflow has moved.
it("a workflow with a start that may still be carried out does not move", () => {
    const position = { job: "00000000000000aa" as JobId, occurrence: 0, step: 0, index: 0 };
    const step = createStep();
    const ledger = createWorkflowLedger({
        id: position.job,
        queue: testQueue,
        payload: "",
        steps: [step],
        acceptedAt: 0,
    });
    const lateOrderDetector = createLateOrderDetector();
    const starts = createUnansweredStarts({ lateOrderTime: 12_000, lateOrderDetector, onChange: () => undefined });
    const worker = "w-1" as WorkerId;
    starts.add(createRun({ task: taskName(position), position, number: 1, worker, ledger, step, checkpoint: "" }));
    starts.recordLapse(worker);
    ledger.recordStart(position);
    ledger.markWaiting(position);
    const record = ledger.stage(position)?.record;
    if (record !== undefined) {
        record.noRoomSince = 0;
    }
    const found = findWaitingWorkflows({
        ledgers: [ledger],
        runRegistry: createRunRegistry(),
        isHeldBack: () => false,
        constraintOf: starts.constraintOf,
        hasUnansweredStart: starts.hasAny,
    });
    // A sign that comes now would hold the task back in its own cell.
    lateOrderDetector.recordSign();
    expect(starts.constraintOf(taskName(position))).toBe("nowhere");
    expect(found.size).toBe(0);
});
