import type { JobId, ServiceId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";

import type { TaskPosition, WorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { workflowProgress } from "../src/ledger/workflow-progress.js";
import { createStep } from "../src/model/create-step.js";
import type { Step } from "../src/model/step.js";
import type { Schedule, Workflow } from "../src/model/workflow.js";

const workflow = (steps: readonly Step[], schedule?: Schedule): Workflow => ({
    id: "00000000000000aa" as JobId,
    queue: {
        name: "r-a",
        hostName: "a.example",
        pathPrefix: "/a/",
        service: "desk" as ServiceId,
        priority: 0,
        maxAttempts: 2,
        slackFactor: 2,
        latencyTarget: 100,
    },
    payload: "",
    steps,
    acceptedAt: 0,
    ...(schedule === undefined ? {} : { schedule }),
});
const at = (step: number, index = 0, occurrence = 0): TaskPosition => ({ occurrence, step, index });
const written = (ledger: WorkflowLedger): WorkflowLedger => {
    ledger.markStored(ledger.revision());
    return ledger;
};
const openSteps = (ledger: WorkflowLedger, now = 0): string[] =>
    ledger.openStages(now, 0).map(stage => `${String(stage.occurrence)}.${String(stage.stepIndex)}`);
const reload = (ledger: WorkflowLedger): WorkflowLedger =>
    createWorkflowLedger(ledger.workflow, workflowProgress.parse(JSON.parse(JSON.stringify(ledger.progress()))));

describe("a workflow's ledger", () => {
    it("opens a step once all tasks of the steps before it are done and stored", () => {
        const ledger = createWorkflowLedger(workflow([createStep({ count: 2 }), createStep({ after: [0] })]));
        expect(openSteps(ledger)).toEqual(["0.0"]);
        ledger.recordDone(at(0, 0));
        ledger.recordDone(at(0, 1));
        // The ends are not stored, so that a new holder would run the first step again.
        expect(openSteps(ledger)).toEqual([]);
        expect(openSteps(written(ledger))).toEqual(["0.1"]);
        ledger.recordDone(at(1));
        expect(written(ledger).state()).toBe("completed");
    });

    it("fails at the limit of one task's failed runs, not of all tasks together", () => {
        const ledger = createWorkflowLedger(workflow([createStep({ count: 3 })]));
        ledger.recordFailure(at(0, 0), 1);
        ledger.recordFailure(at(0, 1), 1);
        ledger.recordFailure(at(0, 2), 1);
        expect(ledger.isSettled()).toBe(false);
        ledger.recordFailure(at(0, 1), 2);
        expect(written(ledger).state()).toBe("failed");
    });

    it("tells submitters of an end only once it is stored, since a new holder would go on without it", () => {
        const ledger = createWorkflowLedger(workflow([createStep()]));
        ledger.recordStart(at(0));
        ledger.recordDone(at(0));
        expect([ledger.isSettled(), ledger.state(), ledger.latestState()]).toEqual([true, "running", "completed"]);
        expect(written(ledger).state()).toBe("completed");
    });

    it("counts a failed run once where a worker reports it again to the next holder", () => {
        const ledger = createWorkflowLedger(workflow([createStep()]));
        ledger.recordFailure(at(0), 4_097);
        const next = reload(ledger);
        next.recordFailure(at(0), 4_097);
        expect(next.isSettled()).toBe(false);
        next.recordFailure(at(0), 8_193);
        expect(written(next).state()).toBe("failed");
    });

    it("counts failed runs of a gang together and takes one end for all", () => {
        const failed = createWorkflowLedger(workflow([createStep({ count: 3, isGang: true })]));
        failed.recordFailure(at(0, 0), 1);
        failed.recordFailure(at(0, 2), 2);
        expect(written(failed).state()).toBe("failed");
        const done = createWorkflowLedger(workflow([createStep({ count: 3, isGang: true })]));
        done.recordDone(at(0, 1));
        expect(written(done).state()).toBe("completed");
    });

    it("never ends a step that lasts, however its tasks end", () => {
        const ledger = createWorkflowLedger(workflow([createStep({ isLasting: true })]));
        ledger.recordStart(at(0));
        for (let run = 0; run < 5; run += 1) {
            ledger.recordFailure(at(0), run);
            ledger.recordDone(at(0));
        }
        expect(ledger.state()).toBe("running");
        ledger.recordCancellation();
        expect(written(ledger).state()).toBe("cancelled");
    });

    it("opens occurrences when they are due, also beside earlier ones", () => {
        const ledger = createWorkflowLedger(
            workflow([createStep()], { repetitions: 3, firstDue: 1_000, interval: 500 }),
        );
        expect(openSteps(ledger, 999)).toEqual([]);
        expect(openSteps(ledger, 1_500)).toEqual(["0.0", "1.0"]);
        ledger.recordDone(at(0, 0, 0));
        ledger.recordDone(at(0, 0, 1));
        expect(ledger.state()).toBe("queued");
        ledger.recordDone(at(0, 0, 2));
        expect(written(ledger).state()).toBe("completed");
    });

    it("comes back from its stored progress as it was", () => {
        const ledger = createWorkflowLedger(
            workflow([createStep({ count: 3, isCheckpointing: true }), createStep({ after: [0] })]),
        );
        ledger.recordStart(at(0, 0));
        ledger.recordDone(at(0, 0));
        ledger.recordFailure(at(0, 1), 1);
        ledger.recordCheckpoint(at(0, 2), "c-7");
        const again = reload(ledger);
        expect(again.state()).toBe("running");
        expect([...again.stage(at(0))?.record.waiting ?? []]).toEqual([1, 2]);
        expect(again.stage(at(0))?.record.checkpoints.get(2)).toBe("c-7");
        again.recordFailure(at(0, 1), 2);
        expect(written(again).state()).toBe("failed");
    });
});
