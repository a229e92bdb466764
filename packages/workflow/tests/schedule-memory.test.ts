import type { JobId } from "@jayfront/world";
import { beforeEach, describe, expect, it } from "@jest/globals";

import { createStageMemory } from "../src/cell/stage-memory.js";
import type { Stage } from "../src/ledger/stage.js";
import type { WorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { workflowProgress } from "../src/ledger/workflow-progress.js";
import { createStep } from "../src/model/create-step.js";
import { estimateLedgerBytes } from "../src/model/estimate-ledger-bytes.js";
import type { Step } from "../src/model/step.js";
import type { Workflow } from "../src/model/workflow.js";
import type { MemoryAllowance } from "../src/port/memory-allowance.js";
import { testQueue } from "./test-queue.js";

const workflowOf = (steps: readonly Step[], repetitions: number): Workflow => ({
    id: "00000000000000aa" as JobId,
    queue: testQueue,
    payload: "",
    steps,
    schedule: { repetitions, firstDue: 0, interval: 0 },
    acceptedAt: 0,
});
const open = (ledger: WorkflowLedger): readonly Stage[] => ledger.openStages(0, 0);
const start = (ledger: WorkflowLedger, { occurrence, stepIndex }: Stage): void => {
    ledger.recordStart({ occurrence, step: stepIndex, index: 0 });
};
const end = (ledger: WorkflowLedger, { occurrence, stepIndex }: Stage): void => {
    ledger.recordDone({ occurrence, step: stepIndex, index: 0 });
};
/** Starts and ends what is open, except stages of the steps `stuck`, until nothing else is. */
const runAll = (ledger: WorkflowLedger, stuck: readonly number[] = []): void => {
    for (;;) {
        const stages = open(ledger).filter(({ stepIndex }) => !stuck.includes(stepIndex));
        stages.forEach(stage => {
            start(ledger, stage);
            end(ledger, stage);
        });
        ledger.markStored(ledger.revision());
        if (stages.length === 0) {
            return;
        }
    }
};
const countByStep = (stages: readonly Stage[]): Record<number, number> => {
    const counts: Record<number, number> = {};
    for (const { stepIndex } of stages) {
        counts[stepIndex] = (counts[stepIndex] ?? 0) + 1;
    }
    return counts;
};

describe("the memory of a schedule", () => {
    let taken: number;
    let lost: AbortController;
    const allowance: MemoryAllowance = {
        take: bytes => {
            taken += bytes;
            return true;
        },
        hold: bytes => {
            taken += bytes;
        },
        giveBack: bytes => {
            taken -= bytes;
        },
    };
    beforeEach(() => {
        taken = 0;
        lost = new AbortController();
    });
    /** Bytes that all schedules of a cell may take together. */
    const bound = 8 * 1_024 * 1_024;

    // Guards against holders that end one after another, since each due occurrence takes memory (review/11).
    it("does not grow with the number of due occurrences", () => {
        const stageMemory = createStageMemory(allowance, lost.signal);
        const ledgers = Array.from(
            { length: 9 },
            () =>
                createWorkflowLedger(workflowOf([createStep()], 21_600), undefined, {
                    stageMemory: stageMemory.createShare(),
                }),
        );
        for (let pass = 0; pass < 30; pass += 1) {
            ledgers.forEach(open);
        }
        expect(taken).toBeGreaterThan(0);
        expect(taken).toBeLessThanOrEqual(bound);
        const counts = ledgers.map(ledger => open(ledger).length);
        expect(Math.max(...counts)).toBeLessThanOrEqual(512);
        expect(Math.min(...counts)).toBeGreaterThan(100);
    });

    // Guards against a holder that ends while it loads a job with many occurrences that are done (issue 71).
    it("does not grow with the number of occurrences that are done, also under the next holder", () => {
        const steps = [createStep(), createStep({ after: [0] })];
        const ledger = createWorkflowLedger(workflowOf(steps, 5_000), undefined, { stageMemory: allowance });
        runAll(ledger, [1]);
        expect(countByStep(open(ledger))).toEqual({ 1: 512 });
        open(ledger).slice(0, 300).forEach(stage => {
            end(ledger, stage);
        });
        const progress = workflowProgress.parse(JSON.parse(JSON.stringify(ledger.progress())));
        expect([progress.steps, progress.finished]).toEqual([[], [[0, 0, 4_999], [1, 0, 299]]]);
        taken = 0;
        const next = createWorkflowLedger(ledger.workflow, progress, { stageMemory: allowance });
        expect([taken, open(next)[0]?.occurrence, next.isDone({ occurrence: 299, step: 1, index: 0 })])
            .toEqual([0, 300, true]);
        runAll(next);
        expect(next.state()).toBe("completed");
    });

    // Guards against tasks that run without end and each take memory, while waiting ones alone are bounded.
    it("is bounded for tasks that run, and given back with their ends", () => {
        const stageMemory = createStageMemory(allowance, lost.signal);
        const ledger = createWorkflowLedger(workflowOf([createStep()], 21_600), undefined, {
            stageMemory: stageMemory.createShare(),
        });
        const running: Stage[] = [];
        for (let stages = open(ledger); stages.length > 0; stages = open(ledger)) {
            running.push(...stages);
            stages.forEach(stage => {
                start(ledger, stage);
            });
        }
        expect(taken).toBeLessThanOrEqual(bound);
        expect(running.length).toBeGreaterThan(1_500);
        running.forEach(stage => {
            end(ledger, stage);
        });
        ledger.markStored(ledger.revision());
        expect(taken).toBe(0);
        expect(open(ledger)).toHaveLength(512);
        ledger.release();
        expect(taken).toBe(0);
    });

    // Guards against occurrences whose second step fits nowhere, and that keep the first step of later ones from starting.
    it("leaves a share to each step that may start", () => {
        const stageMemory = createStageMemory(allowance, lost.signal);
        const steps = [createStep(), createStep({ after: [0] }), createStep({ after: [0] })];
        const ledger = createWorkflowLedger(workflowOf(steps, 30_000), undefined, {
            stageMemory: stageMemory.createShare(),
        });
        runAll(ledger, [1, 2]);
        expect(countByStep(open(ledger))).toEqual({ 1: 256, 2: 256 });
        expect(ledger.isDone({ occurrence: 29_999, step: 0, index: 0 })).toBe(true);
        expect(taken).toBeLessThanOrEqual(bound);
    });

    // Guards against a schedule without a run, since others have taken all memory.
    it("leaves each workflow a stage of each step if others have taken all", () => {
        const none: MemoryAllowance = { ...allowance, take: () => false };
        const steps = [createStep(), createStep({ after: [0] })];
        const ledger = createWorkflowLedger(workflowOf(steps, 40), undefined, { stageMemory: none });
        expect(open(ledger).map(({ occurrence }) => occurrence)).toEqual([0, 1]);
        runAll(ledger);
        expect(ledger.state()).toBe("completed");
    });

    // Guards against a workflow that keeps all memory that it took before others came.
    it("is divided anew once another workflow has due occurrences", () => {
        const stageMemory = createStageMemory(allowance, lost.signal);
        const ledgers = Array.from(
            { length: 20 },
            () =>
                createWorkflowLedger(workflowOf([createStep()], 21_600), undefined, {
                    stageMemory: stageMemory.createShare(),
                }),
        );
        for (let pass = 0; pass < 5; pass += 1) {
            ledgers.forEach(open);
        }
        const counts = ledgers.map(ledger => open(ledger).length);
        expect(Math.max(...counts) - Math.min(...counts)).toBeLessThanOrEqual(1);
        lost.abort();
        expect(taken).toBe(0);
    });

    it("is estimated for all occurrences of long-running steps, which run until the workflow is cancelled", () => {
        const estimate = (isLasting: boolean, repetitions: number): number =>
            estimateLedgerBytes(workflowOf([createStep({ isLasting })], repetitions));
        expect(estimate(false, 1_000_000)).toBe(estimate(false, 2));
        expect(estimate(true, 1_000)).toBeGreaterThan(500 * estimate(true, 1));
    });
});
