import { setFlagsFromString } from "node:v8";
import { runInThisContext } from "node:vm";

import type { FailureDomainId, JobId, WorkerId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";

import { createRun } from "../src/cell/create-run.js";
import { createLateOrderDetector } from "../src/cell/late-order-detector.js";
import { rosterCodec } from "../src/cell/roster-codec.js";
import type { Run } from "../src/cell/run.js";
import { createUnansweredStarts } from "../src/cell/unanswered-starts.js";
import type { WorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import type { Step } from "../src/model/step.js";
import type { TaskName } from "../src/model/task-name.js";
import { taskName } from "../src/model/task-name.js";
import type { WorkerEntry } from "../src/model/worker-entry.js";
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

    it("have few layouts in memory: workers of a stored roster", () => {
        const entries = Array.from({ length: 200 }, (...[, index]): WorkerEntry => ({
            id: `w-${String(index)}` as WorkerId,
            address: `10.1.64.${String(index)}:8705`,
            service: testQueue.service,
            failureDomain: "east-a" as FailureDomainId,
            rack: `r-${String(index % 4)}`,
            labels: [],
            capacity: { cpu: 64_000, memory: 64_000, accelerators: 0 },
            isDraining: false,
            bornAt: index,
        }));
        expect(countLayouts(rosterCodec.decode(rosterCodec.encode(entries)))).toBeLessThanOrEqual(3);
    });

    it("have few layouts in memory: unanswered starts of an earlier holder", () => {
        const { inherit } = createUnansweredStarts({
            lateOrderTime: 60_000,
            lateOrderDetector: createLateOrderDetector(),
            onChange: () => undefined,
        });
        const starts = Array.from({ length: 200 }, (...[, index]) => ({
            task: `0000000000000001.0.0.${String(index)}` as TaskName,
            run: 1,
            worker: "w-1" as WorkerId,
            isLasting: false,
            age: index,
            mayBeDelayed: false,
            isIncarnationOver: false,
        }));
        expect(countLayouts(inherit({ restartAge: undefined, starts }))).toBeLessThanOrEqual(3);
    });
});
