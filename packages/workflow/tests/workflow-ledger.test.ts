import type { CellId, JobId, ServiceId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";

import { hasWaitingTasks } from "../src/cell/has-waiting-tasks.js";
import { waitingShortLivedCpu } from "../src/cell/waiting-short-lived-cpu.js";
import type { TaskPosition } from "../src/ledger/task-position.js";
import type { TransferredTask } from "../src/ledger/transferred-task.js";
import type { WorkflowLedger } from "../src/ledger/workflow-ledger.js";
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
const markStored = (ledger: WorkflowLedger): WorkflowLedger => {
    ledger.markStored(ledger.revision());
    return ledger;
};
const openSteps = (ledger: WorkflowLedger, now = 0): string[] =>
    ledger.openStages(now, 0).map(stage => `${String(stage.occurrence)}.${String(stage.stepIndex)}`);
const reload = (ledger: WorkflowLedger): WorkflowLedger =>
    createWorkflowLedger(ledger.workflow, workflowProgress.parse(JSON.parse(JSON.stringify(ledger.progress()))));

describe("a workflow of very many tasks", () => {
    // Guards against a pass that never ends: all occurrences of a schedule without an interval are due at once.
    it("opens its occurrences one after another", () => {
        const step = createStep({ count: 5_000 });
        const ledger = createWorkflowLedger(workflow([step], { repetitions: 1e15, firstDue: 0, interval: 0 }));
        expect(openSteps(ledger)).toEqual(["0.0", "1.0", "2.0", "3.0"]);
        for (let index = 0; index < step.count; index += 1) {
            ledger.recordStart(at(0, index, 1));
            ledger.recordDone(at(0, index, 1));
        }
        expect(openSteps(markStored(ledger))).toEqual(["0.0", "2.0", "3.0", "4.0"]);
    });

    // Guards against summaries and requests for room that take memory for each task of steps which are not open.
    it("takes no memory for steps that are only looked at", () => {
        const steps = [createStep(), createStep({ count: 100_000, after: [0] })];
        const ledger = createWorkflowLedger(workflow(steps));
        expect([openSteps(ledger), waitingShortLivedCpu(ledger)]).toEqual([["0.0"], 1_000]);
        expect(hasWaitingTasks(ledger)).toBe(true);
        // A row tells of neither step, since no task has ended; the first one is the only that was opened.
        expect([ledger.progress().steps, ledger.firstStage(0)?.stepIndex, ledger.firstStage(1)]).toEqual([
            [],
            0,
            undefined,
        ]);
    });

    // Guards against tasks from another cell that never start, since their occurrence counted as done before they came.
    it("opens an occurrence again that another cell gives back", () => {
        const steps = [createStep({ count: 1, isLasting: true })];
        const ledger = createWorkflowLedger(workflow(steps, { repetitions: 3, firstDue: 0, interval: 0 }));
        ledger.recordDeparture(at(0, 0, 1));
        expect(openSteps(ledger)).toEqual(["0.0", "2.0"]);
        ledger.recordArrival(at(0, 0, 1));
        expect(openSteps(ledger).sort()).toEqual(["0.0", "1.0", "2.0"]);
    });
});

describe("the workflow ledger", () => {
    // Guards against lost long-running tasks that wait as new ones under the next holder, and against tasks that never ran
    // and take the room of those that did.
    it.each([[[0], [0, 1, 2]], [[], []]])(
        "after a takeover that finds runs of %j, counts %j as having run",
        (found, ran) => {
            const ledger = createWorkflowLedger(workflow([createStep({ count: 3, isLasting: true })]));
            found.forEach(index => {
                ledger.recordStart(at(0, index));
            });
            ledger.openStages(0, 0);
            ledger.completeTakeover();
            expect([...ledger.stage(at(0))?.record.started ?? []].sort()).toEqual(ran);
        },
    );

    it("opens a step once all tasks that it depends on are done and stored", () => {
        const ledger = createWorkflowLedger(workflow([createStep({ count: 2 }), createStep({ after: [0] })]));
        expect(openSteps(ledger)).toEqual(["0.0"]);
        ledger.recordDone(at(0, 0));
        ledger.recordDone(at(0, 1));
        // The ends are not stored: a new holder would run the first step again.
        expect(openSteps(ledger)).toEqual([]);
        expect(openSteps(markStored(ledger))).toEqual(["0.1"]);
        ledger.recordDone(at(1));
        expect(markStored(ledger).state()).toBe("completed");
    });

    // Guards against steps that wait until no end of the whole workflow is being stored (issue 50).
    it("opens a step whose own dependency is stored although the end of another task is not", () => {
        const steps = [createStep(), createStep({ count: 2 }), createStep({ after: [0] })];
        const ledger = createWorkflowLedger(workflow(steps));
        ledger.recordDone(at(0));
        const revision = ledger.revision();
        ledger.recordDone(at(1));
        expect(openSteps(ledger)).toEqual(["0.1"]);
        ledger.markStored(revision);
        expect(openSteps(ledger)).toEqual(["0.1", "0.2"]);
    });

    // Guards against more runs than the queue allows: a next holder would not know of a failure that is not stored.
    it.each([[false, [1], [0, 1]], [true, [], [0, 1]]])(
        "lets a task start again once its own failure or crash is stored, in a gang all together (%j)",
        (isGang, before, after) => {
            const ledger = createWorkflowLedger(workflow([createStep({ count: 2, isGang }), createStep({ count: 2 })]));
            const startable = (): readonly number[][] =>
                ledger.openStages(0, 0).map(stage => [...ledger.startable(stage)]);
            ledger.recordFailure(at(0), 1);
            expect(startable()).toEqual([before, [0, 1]]);
            const failedAt = ledger.revision();
            ledger.recordCrash(at(1, 1), 1, 0.1);
            ledger.markStored(failedAt);
            expect(startable()).toEqual([after, [0]]);
        },
    );

    // Guards against a long-running task that starts here although the change that moves it is being stored.
    it("opens no long-running step while any change is not stored", () => {
        const ledger = createWorkflowLedger(workflow([createStep({ isLasting: true }), createStep({ count: 2 })]));
        ledger.recordDone(at(1));
        expect(openSteps(ledger)).toEqual(["0.1"]);
        expect(openSteps(markStored(ledger))).toEqual(["0.0", "0.1"]);
    });

    it("fails when one task reaches the limit of failed runs, not all tasks together", () => {
        const ledger = createWorkflowLedger(workflow([createStep({ count: 3 })]));
        ledger.recordFailure(at(0, 0), 1);
        ledger.recordFailure(at(0, 1), 1);
        ledger.recordFailure(at(0, 2), 1);
        expect(ledger.isSettled()).toBe(false);
        ledger.recordFailure(at(0, 1), 2);
        expect(markStored(ledger).state()).toBe("failed");
    });

    it("reports a final state only once it is stored, since a new holder would not know of it", () => {
        const ledger = createWorkflowLedger(workflow([createStep()]));
        ledger.recordStart(at(0));
        ledger.recordDone(at(0));
        expect([ledger.isSettled(), ledger.state(), ledger.latestState()]).toEqual([true, "running", "completed"]);
        expect(markStored(ledger).state()).toBe("completed");
    });

    it("counts a failed run once although a worker reports it again to the next holder", () => {
        const ledger = createWorkflowLedger(workflow([createStep()]));
        ledger.recordFailure(at(0), 4_097);
        const next = reload(ledger);
        next.recordFailure(at(0), 4_097);
        expect(next.isSettled()).toBe(false);
        next.recordFailure(at(0), 8_193);
        expect(markStored(next).state()).toBe("failed");
    });

    it("counts failed runs of a gang together and treats one end as that of all members", () => {
        const failed = createWorkflowLedger(workflow([createStep({ count: 3, isGang: true })]));
        failed.recordFailure(at(0, 0), 1);
        failed.recordFailure(at(0, 2), 2);
        expect(markStored(failed).state()).toBe("failed");
        const done = createWorkflowLedger(workflow([createStep({ count: 3, isGang: true })]));
        done.recordDone(at(0, 1));
        expect(markStored(done).state()).toBe("completed");
    });

    it("never completes a long-running step, however its tasks end", () => {
        const ledger = createWorkflowLedger(workflow([createStep({ isLasting: true })]));
        ledger.recordStart(at(0));
        for (let run = 0; run < 5; run += 1) {
            ledger.recordFailure(at(0), run);
            ledger.recordDone(at(0));
        }
        expect(ledger.state()).toBe("running");
        ledger.recordCancellation();
        expect(markStored(ledger).state()).toBe("cancelled");
    });

    it("opens an occurrence when it is due, even if earlier ones are not done", () => {
        const ledger = createWorkflowLedger(
            workflow([createStep()], { repetitions: 3, firstDue: 1_000, interval: 500 }),
        );
        expect(openSteps(ledger, 999)).toEqual([]);
        expect(openSteps(ledger, 1_500)).toEqual(["0.0", "1.0"]);
        ledger.recordDone(at(0, 0, 0));
        ledger.recordDone(at(0, 0, 1));
        expect(ledger.state()).toBe("queued");
        ledger.recordDone(at(0, 0, 2));
        expect(markStored(ledger).state()).toBe("completed");
    });

    it("is restored from its stored progress", () => {
        const ledger = createWorkflowLedger(
            workflow([createStep({ count: 3, isCheckpointing: true }), createStep({ after: [0] })]),
        );
        ledger.recordStart(at(0, 0));
        ledger.recordDone(at(0, 0));
        ledger.recordFailure(at(0, 1), 1);
        ledger.recordCheckpoint(at(0, 2), "c-7");
        const restored = reload(ledger);
        expect(restored.state()).toBe("running");
        expect([...restored.stage(at(0))?.record.waiting ?? []]).toEqual([1, 2]);
        expect(restored.stage(at(0))?.record.checkpoints.get(2)).toBe("c-7");
        restored.recordFailure(at(0, 1), 2);
        expect(markStored(restored).state()).toBe("failed");
    });

    describe("with tasks that another cell runs", () => {
        const other = "east-b/0" as CellId;
        const transferred = (index: number): TransferredTask => ({ ...at(0, index), lastRun: 3 });
        const waiting = (ledger: WorkflowLedger): number[] =>
            [...ledger.stage(at(0))?.record.waiting ?? []].sort((left, right) => left - right);
        const createWithTransfer = (): WorkflowLedger => {
            const ledger = createWorkflowLedger(workflow([createStep({ count: 3, isLasting: true })]));
            ledger.recordTransfer(transferred(1), other);
            return ledger;
        };

        // Guards against a successor that starts a task which another cell runs.
        it("does not start them, also after it was loaded again", () => {
            const ledger = createWithTransfer();
            expect(waiting(ledger)).toEqual([0, 2]);
            ledger.markWaiting(at(0, 1));
            expect(waiting(reload(ledger))).toEqual([0, 2]);
            expect(waiting(ledger)).toEqual([0, 2]);
            expect(reload(ledger).transfers().get(other)).toEqual([transferred(1)]);
        });

        it("starts nothing until the transfer is stored", () => {
            const ledger = createWithTransfer();
            expect(openSteps(ledger)).toEqual([]);
            expect(openSteps(markStored(ledger))).toEqual(["0.0"]);
        });

        it("starts them again once they are returned, which is stored first", () => {
            const ledger = markStored(createWithTransfer());
            ledger.recordReturn(transferred(1), other);
            expect(openSteps(ledger)).toEqual([]);
            expect(waiting(markStored(ledger))).toEqual([0, 1, 2]);
            expect([...reload(ledger).transfers()]).toEqual([]);
        });

        // Guards against a successor that gives a run the number of an earlier one, which workers refuse.
        it("stores the numbers of their last runs when they are returned", () => {
            const ledger = createWithTransfer();
            expect(ledger.returned()).toEqual([]);
            ledger.recordReturn({ ...transferred(1), lastRun: 9_000 }, other);
            expect(reload(ledger).returned()).toEqual([{ ...transferred(1), lastRun: 9_000 }]);
        });

        // Guards against two runs of one task: an earlier return by a cell that had it before is applied late.
        it("keeps them transferred if another cell is said to have returned them", () => {
            const ledger = markStored(createWithTransfer());
            ledger.recordReturn(transferred(1), other);
            ledger.recordTransfer(transferred(1), "east-c/0" as CellId);
            ledger.recordReturn(transferred(1), other);
            expect(waiting(ledger)).toEqual([0, 2]);
        });
    });
});
