import type { JobId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";

import { encodeProgress } from "../src/cell/encode-progress.js";
import type { WorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import type { WorkflowProgress } from "../src/ledger/workflow-progress.js";
import { workflowProgress } from "../src/ledger/workflow-progress.js";
import { createStep } from "../src/model/create-step.js";
import { testQueue } from "./test-queue.js";

const occurrences = 1_000;
const count = 40;
const steps = [createStep({ count, isCheckpointing: true }), createStep({ count, after: [0] })];
const createLedger = (stored?: WorkflowProgress): WorkflowLedger =>
    createWorkflowLedger({
        id: "00000000000000a1" as JobId,
        queue: testQueue,
        payload: "",
        steps,
        schedule: { repetitions: occurrences, firstDue: 0, interval: 1_000 },
        acceptedAt: 0,
    }, stored);

/** Steps of the progress in JSON, in an order of their own. */
const sortedSteps = (ledger: WorkflowLedger): readonly string[] =>
    ledger.progress().steps.map(step => JSON.stringify(step)).sort();

describe("the encoding of progress", () => {
    // Guards against a scheduled workflow whose progress outgrows a row of the store, which then never takes its ends.
    it("fits a long schedule into a row, and restores the same progress", () => {
        const ledger = createLedger();
        for (let occurrence = 0; occurrence < occurrences - 1; occurrence += 1) {
            steps.forEach((...[, step]) => {
                for (let index = 0; index < count; index += 1) {
                    ledger.recordDone({ occurrence, step, index });
                }
            });
        }
        const last = { occurrence: occurrences - 1, step: 0 };
        ledger.recordStart({ ...last, index: 5 });
        [0, 1, 2, 7, 39].forEach(index => {
            ledger.recordDone({ ...last, index });
        });
        ledger.recordFailure({ ...last, index: 5 }, 3);
        ledger.recordCheckpoint({ ...last, index: 5 }, "half");
        const { value, omittedCheckpoints } = encodeProgress(ledger.progress(), 65_536);
        const restored = createLedger(workflowProgress.parse(JSON.parse(value)));
        expect([omittedCheckpoints, JSON.parse(value)]).toMatchSnapshot();
        expect(sortedSteps(restored)).toEqual(sortedSteps(ledger));
        expect([restored.latestState(), restored.isDone({ ...last, index: 7 }), restored.isDone({ ...last, index: 6 })])
            .toEqual(["running", true, false]);
    });

    it("leaves nothing out of progress that fits", () => {
        const ledger = createLedger();
        ledger.recordDone({ occurrence: 0, step: 0, index: 3 });
        const progress = ledger.progress();
        expect(encodeProgress(progress, 65_536))
            .toEqual({ value: JSON.stringify(progress), omittedCheckpoints: 0 });
    });
});
