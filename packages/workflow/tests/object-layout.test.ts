import { setFlagsFromString } from "node:v8";
import { runInThisContext } from "node:vm";

import type { JobId, WorkerId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";

import { createRun } from "../src/cell/create-run.js";
import type { Run } from "../src/cell/run.js";
import type { WorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import type { Step } from "../src/model/step.js";
import { taskName } from "../src/model/task-name.js";
import { testQueue } from "./test-queue.js";

setFlagsFromString("--allow-natives-syntax");
/** Whether V8 stores the properties of both objects at the same offsets. */
const haveSameLayout = runInThisContext("(left, right) => %HaveSameMap(left, right)") as (
    left: object,
    right: object,
) => boolean;

const countLayouts = (objects: readonly object[]): number =>
    objects.filter((object, index) => objects.slice(0, index).every(other => !haveSameLayout(other, object))).length;

const createTestStep = (index: number): Step =>
    createStep({ count: 2, cpu: 1_000 + index, image: "serving", isLasting: true, tailTarget: 100 });
const createLedger = (index: number): WorkflowLedger =>
    createWorkflowLedger({
        id: index.toString(16).padStart(16, "0") as JobId,
        queue: testQueue,
        payload: "",
        steps: [createTestStep(index)],
        acceptedAt: 0,
    });
const createTestRun = (index: number): Run => {
    const ledger = createLedger(index);
    const position = { job: ledger.workflow.id, occurrence: 0, step: 0, index: 0 };
    return createRun({
        task: taskName(position),
        position,
        number: 1,
        worker: "w-1" as WorkerId,
        ledger,
        step: createTestStep(index),
        checkpoint: "",
    });
};
const stepRecordOf = (index: number): object =>
    createLedger(index).stage({ occurrence: 0, step: 0, index: 0 })?.record ?? {};

// Guards against a holder that takes tens of times longer to create and to read its objects, since V8 gives each of
// them a layout of its own. A holder reads all its runs in each pass and each review.
describe("the objects of which a holder has thousands", () => {
    it.each<[string, (index: number) => object]>([
        ["runs", createTestRun],
        ["steps", createTestStep],
        ["step records", stepRecordOf],
        ["workflow ledgers", createLedger],
    ])("have few layouts in memory: %s", (...[, create]) => {
        const objects = Array.from({ length: 200 }, (...[, index]) => create(index));
        expect(countLayouts(objects)).toBeLessThanOrEqual(3);
    });
});
