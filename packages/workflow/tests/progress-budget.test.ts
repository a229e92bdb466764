import type { JobId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";

import { encodeProgress } from "../src/cell/encode-progress.js";
import type { Stage } from "../src/ledger/stage.js";
import type { WorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { workflowProgress } from "../src/ledger/workflow-progress.js";
import { createStep } from "../src/model/create-step.js";
import type { Step } from "../src/model/step.js";
import type { Workflow } from "../src/model/workflow.js";
import { testQueue } from "./test-queue.js";

const progressBytes = 16_384;
/** Run numbers of a holder after many changes of holder. */
const firstRun = 4_096_000_000;

const workflowOf = (steps: readonly Step[], repetitions: number): Workflow => ({
    id: "00000000000000aa" as JobId,
    queue: { ...testQueue, maxAttempts: 3 },
    payload: "",
    steps,
    ...(repetitions > 0 ? { schedule: { repetitions, firstDue: 0, interval: 0 } } : {}),
    acceptedAt: 0,
});
interface Task {
    readonly stage: Stage;
    readonly index: number;
}
const positionOf = ({ stage, index }: Task) => ({ occurrence: stage.occurrence, step: stage.stepIndex, index });
/** Starts all tasks that may start, in the order in which they are offered, a gang with all of its members. */
const startAll = (ledger: WorkflowLedger): Task[] => {
    const started: Task[] = [];
    for (const stage of ledger.openStages(0, 0)) {
        for (const index of ledger.startable(stage)) {
            if (stage.record.waiting.has(index) && ledger.hasRoomForEnd(stage, index)) {
                const indices = stage.step.isGang ? [...stage.record.waiting] : [index];
                indices.forEach(member => {
                    ledger.recordStart(positionOf({ stage, index: member }));
                    started.push({ stage, index: member });
                });
            }
        }
    }
    return started;
};
const rowBytes = (ledger: WorkflowLedger): number =>
    Buffer.byteLength(encodeProgress(ledger.progress(), Infinity).value);
const reload = (ledger: WorkflowLedger): WorkflowLedger =>
    createWorkflowLedger(
        ledger.workflow,
        workflowProgress.parse(JSON.parse(JSON.stringify(ledger.progress()))),
        { progressBytes },
    );

/** Runs a workflow to its end; `fails`: whether a run of the task fails, by how many of its runs have. */
const run = (
    workflow: Workflow,
    fails: (task: Task, failures: number) => boolean,
): { readonly state: string; readonly longest: number; readonly rounds: number; } => {
    let ledger = createWorkflowLedger(workflow, undefined, { progressBytes });
    const failures = new Map<string, number>();
    let longest = 0;
    let rounds = 0;
    while (!ledger.isSettled() && rounds < 5_000) {
        const running = startAll(ledger);
        // Every second one ends first, so that the done ones are scattered.
        for (const parity of [1, 0]) {
            running.filter((...[, number]) => number % 2 === parity).forEach(task => {
                const key = JSON.stringify(positionOf(task));
                const count = failures.get(key) ?? 0;
                if (fails(task, count)) {
                    failures.set(key, count + 1);
                    ledger.recordFailure(positionOf(task), firstRun + count);
                    ledger.markWaiting(positionOf(task));
                }
                else {
                    ledger.recordDone(positionOf(task));
                }
            });
            longest = Math.max(longest, rowBytes(ledger));
        }
        ledger.markStored(ledger.revision());
        rounds += 1;
        if (rounds % 10 === 0 && !ledger.isSettled()) {
            ledger = reload(ledger);
        }
    }
    return { state: ledger.latestState(), longest, rounds };
};

describe("the progress row of a workflow", () => {
    // Guards against ends that are never acknowledged, of any workflow, since the row of one outgrows the store (review/12).
    it.each([
        ["a schedule", workflowOf([createStep()], 3_600)],
        [
            "a schedule of steps that depend on each other",
            workflowOf([createStep(), createStep({ after: [0] })], 1_000),
        ],
        ["one wide step", workflowOf([createStep({ count: 3_000 })], 0)],
        ["a schedule of wide steps", workflowOf([createStep({ count: 300 })], 10)],
        ["a schedule of gangs", workflowOf([createStep({ count: 4, isGang: true })], 1_000)],
    ])("fits the store while all tasks of %s fail at first", (...[, workflow]) => {
        const { state, longest } = run(workflow, (...[, failures]) => failures < 2);
        expect(longest).toBeLessThanOrEqual(progressBytes);
        expect(state).toBe("completed");
    });

    it("lets very many tasks run at a time that do not fail", () => {
        const { state, longest, rounds } = run(workflowOf([createStep()], 3_600), () => false);
        expect([state, longest <= progressBytes, rounds < 60]).toEqual(["completed", true, true]);
    });

    // Guards against a workflow that stands still, since a task that can't run keeps the others from starting.
    it("lets the first tasks of other steps start while no more than one fits", () => {
        const steps = [createStep({ count: 2_000 }), createStep(), createStep()];
        const ledger = createWorkflowLedger(workflowOf(steps, 0), undefined, { progressBytes });
        for (let index = 0; index < 2_000; index += 1) {
            ledger.recordStart({ occurrence: 0, step: 0, index });
            ledger.recordFailure({ occurrence: 0, step: 0, index }, firstRun);
            ledger.markWaiting({ occurrence: 0, step: 0, index });
        }
        ledger.markStored(ledger.revision());
        const open = ledger.openStages(0, 0);
        expect(open.map(stage => ledger.hasRoomForEnd(stage, 0))).toEqual([true, true, true]);
        ledger.recordStart({ occurrence: 0, step: 2, index: 0 });
        expect(open.slice(0, 2).map(stage => ledger.hasRoomForEnd(stage, 0))).toEqual([false, false]);
    });
});
