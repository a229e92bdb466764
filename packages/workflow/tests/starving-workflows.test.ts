import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import type { CpuRoom } from "../src/cell/cpu-room.js";
import type { Run } from "../src/cell/run.js";
import type { StageCandidate } from "../src/cell/stage-candidate.js";
import type { StarvingWorkflows } from "../src/cell/starving-workflows.js";
import { createStarvingWorkflows } from "../src/cell/starving-workflows.js";
import type { WorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import type { Step } from "../src/model/step.js";
import { taskName } from "../src/model/task-name.js";
import type { TestCell } from "./test-cell.js";
import { createTestCell } from "./test-cell.js";

/** Milliseconds without a run within which users expect one while most of the room is free. */
const longestWait = 3_000;
/** Milliseconds that a busy holder takes for the report of an end, a pass and the order of a run. */
const busyHolderTime = 1_200;
/** Milliseconds from which a wait shows that too much is accepted. */
const longestWaitBound = 4_000;
/** Milliseconds within which a starving workflow gets its next run. */
const nextRunBound = 500;
/** Milliseconds between two passes. */
const passInterval = 50;
/** Milliseconds after which the result of one of these workflows is useless: three times its objective. */
const expiry = 7_500;
const spareStep: Partial<Step> = { count: 4, cpu: 16_000, memory: 1, usesSpareCpu: true, image: "batch" };

describe("a workflow that waits while most of the room is free", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    const countRuns = (cell: TestCell, ledger: WorkflowLedger): number =>
        cell.runRegistry.ofWorkflow(ledger.workflow.id).length;
    const runPasses = (cell: TestCell, milliseconds: number): void => {
        for (let passed = 0; passed < milliseconds; passed += passInterval) {
            cell.scheduler.runPass();
            jest.advanceTimersByTime(passInterval);
        }
    };
    /** A cell whose workers all have serving tasks, and as many spare-CPU tasks as they tolerate. */
    const createServingCell = (servingCpu: number, otherCellsRoom?: CpuRoom): TestCell => {
        const cell = createTestCell({
            workers: 2,
            cpu: 16_000,
            runTime: 1_000,
            ...(otherCellsRoom === undefined ? {} : { otherCellsRoom }),
        });
        cell.submit({}, [{ count: 4, cpu: servingCpu, memory: 1, isLasting: true, tailTarget: 10, image: "desk" }]);
        cell.submit({ priority: 1 }, [spareStep]);
        cell.scheduler.runPass();
        return cell;
    };

    // Guards against a spare-CPU workflow without any run, since it would interfere with serving tasks on all workers.
    it("gets one run though all workers have serving tasks that it may slow", () => {
        const cell = createServingCell(2_000);
        const workflow = cell.submit({ priority: 2 }, [spareStep]);
        runPasses(cell, longestWait / 2);
        const early = countRuns(cell, workflow);
        runPasses(cell, longestWait / 2);
        expect([early, countRuns(cell, workflow)]).toEqual([0, 1]);
    });

    // Guards against a workflow that has no run for over 3 s under a busy holder, although it was chosen within 3 s.
    it("gets a run so early that a busy holder has time to start it", () => {
        const cell = createServingCell(2_000);
        const workflow = cell.submit({ priority: 2 }, [spareStep]);
        runPasses(cell, longestWait - busyHolderTime);
        expect(countRuns(cell, workflow)).toBe(1);
    });

    // Guards against a workflow that starves in one cell after the other: each counts its wait from the arrival.
    it("gets its first run sooner if it has waited in another cell", () => {
        const cell = createServingCell(2_000);
        const workflow = cell.submit({ priority: 2 }, [spareStep]);
        cell.scheduler.recordArrival(workflow.workflow.id);
        runPasses(cell, nextRunBound);
        expect(countRuns(cell, workflow)).toBe(1);
    });

    // Guards against spare-CPU work that slows serving tasks although it only waits for room.
    it("gets none while less than half of the room is free", () => {
        const cell = createServingCell(5_000);
        const workflow = cell.submit({ priority: 2 }, [spareStep]);
        runPasses(cell, 2 * longestWait);
        expect(countRuns(cell, workflow)).toBe(0);
    });

    // Guards against a spare-CPU workflow without any run in a full cell, while most of the room of the service is free.
    it.each([
        { freeCpu: 24_000, runs: 1 },
        { freeCpu: 2_000, runs: 0 },
    ])(
        "gets $runs runs in a full cell if $freeCpu of 32,000 millicores of another one are free",
        ({ freeCpu, runs }) => {
            const cell = createServingCell(5_000, { freeCpu, capacityCpu: 32_000 });
            const workflow = cell.submit({ priority: 2 }, [spareStep]);
            runPasses(cell, longestWait);
            expect(countRuns(cell, workflow)).toBe(runs);
        },
    );

    // Guards against a spare-CPU workflow that never runs: once it has expired, all others go before it.
    it("gets a run once it has expired, although less than half of the room is free", () => {
        const cell = createServingCell(5_000);
        const workflow = cell.submit({ priority: 2 }, [spareStep]);
        runPasses(cell, expiry + longestWait);
        expect(countRuns(cell, workflow)).toBe(1);
    });

    // Guards against a workflow of many tasks that gets one run every few seconds, and breaks the 3 s where one comes late.
    it("gets the next run soon after the end of the one that it got while starving", () => {
        const cell = createServingCell(2_000);
        const workflow = cell.submit({ priority: 2 }, [spareStep]);
        runPasses(cell, longestWait);
        const [run] = cell.runRegistry.ofWorkflow(workflow.workflow.id);
        if (run !== undefined) {
            cell.endRun(run, "done");
        }
        runPasses(cell, nextRunBound);
        expect([run !== undefined, countRuns(cell, workflow)]).toEqual([true, 1]);
    });

    // Guards against a workflow whose turn never comes, since the holder has no time for all tasks of more urgent ones.
    it("gets a run although more urgent work takes all the time of the passes", () => {
        const cell = createTestCell({
            workers: 4,
            cpu: 1_000_000,
            runTime: 1_000,
            passTime: 30,
            onWork: () => {
                jest.advanceTimersByTime(1);
            },
        });
        const late = cell.submit({ priority: 3 }, [{ count: 2, cpu: 1_000, memory: 1 }]);
        const startedAt = performance.now();
        while (countRuns(cell, late) === 0 && performance.now() - startedAt < 2 * longestWait) {
            cell.submit({ priority: 1 }, [{ count: 100, cpu: 1, memory: 1 }]);
            cell.scheduler.runPass();
        }
        expect(performance.now() - startedAt).toBeLessThanOrEqual(longestWait);
    });

    // Guards against a holder that accepts more workflows than it has time to start tasks of.
    it.each([
        { workflows: 10, isTooMuch: false },
        { workflows: 200, isTooMuch: true },
    ])("waits for more than 4 s only if there are too many ($workflows workflows)", ({ workflows, isTooMuch }) => {
        const cell = createTestCell({
            workers: 4,
            cpu: 1_000_000,
            runTime: 1_000,
            passTime: 30,
            onWork: () => {
                jest.advanceTimersByTime(3);
            },
        });
        for (let number = 0; number < workflows; number += 1) {
            cell.submit({ priority: 3 }, [{ count: 1_000, cpu: 1, memory: 1 }]);
        }
        let longestWait = 0;
        const startedAt = performance.now();
        while (performance.now() - startedAt < 5 * longestWaitBound) {
            cell.scheduler.runPass();
            jest.advanceTimersByTime(passInterval);
            longestWait = Math.max(longestWait, cell.scheduler.longestWait());
            [...cell.runRegistry.all()].forEach(run => {
                cell.endRun(run, "lost");
            });
        }
        expect(longestWait > longestWaitBound).toBe(isTooMuch);
    });

    // Guards against a workflow that no worker can run and that keeps others from being started.
    it("gets a run although others for which there is no worker have waited longer", () => {
        const cell = createServingCell(2_000);
        for (let number = 0; number < 20; number += 1) {
            cell.submit({ priority: 2 }, [{ ...spareStep, requiredLabel: "missing" }]);
        }
        const workflow = cell.submit({ priority: 2 }, [spareStep]);
        runPasses(cell, longestWait);
        expect(countRuns(cell, workflow)).toBe(1);
    });

    // Guards against a workflow without any run since one of its tasks may start nowhere for now.
    it("gets a run although its first task may have been started by an unanswered order", () => {
        const cell = createServingCell(2_000);
        const workflow = cell.submit({ priority: 2 }, [spareStep]);
        cell.constrainedTasks.add(taskName({ job: workflow.workflow.id, occurrence: 0, step: 0, index: 0 }));
        runPasses(cell, longestWait);
        expect(countRuns(cell, workflow)).toBe(1);
    });

    // Guards against a spare-CPU task that never runs again, since its worker crashed and all workers have serving tasks.
    it("gets a run although its only task is suspected to crash workers", () => {
        const cell = createServingCell(2_000);
        const workflow = cell.submit({ priority: 2 }, [{ ...spareStep, count: 1 }]);
        workflow.recordCrash({ occurrence: 0, step: 0, index: 0 }, 1, 1);
        workflow.markStored(workflow.revision());
        [...cell.runRegistry.all()].forEach(run => {
            run.isProven = true;
        });
        runPasses(cell, longestWait);
        expect(countRuns(cell, workflow)).toBe(1);
    });

    // Guards against gangs and long-running tasks on spare CPU that never run, since all workers have serving tasks.
    it.each([
        { name: "a gang", step: { count: 2, isGang: true } },
        { name: "a long-running task", step: { count: 1, isLasting: true } },
    ])("gets a run if it is $name on spare CPU", ({ step }) => {
        const cell = createServingCell(2_000);
        const workflow = cell.submit({ priority: 2 }, [{ ...spareStep, ...step }]);
        runPasses(cell, longestWait);
        expect(countRuns(cell, workflow)).toBe(step.count);
    });
});

describe("a workflow that has starved shortly before", () => {
    let runs: number;
    let candidates: readonly StageCandidate[];
    let starving: StarvingWorkflows;
    const candidate = {
        ledger: { workflow: { id: "0" } },
        stage: { step: createStep({ usesSpareCpu: true }) },
        urgency: { expiryLaxity: 0 },
    } as StageCandidate;
    beforeEach(() => {
        jest.useFakeTimers();
        runs = 0;
        candidates = [candidate];
        starving = createStarvingWorkflows({
            freeRoom: { ofCell: () => 1, ofAllCells: () => 1 },
            runRegistry: { ofWorkflow: () => Array<Run>(runs) },
        });
        passTime(longestWait - busyHolderTime);
        starving.recordAttempt(candidate);
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    /** Lets time pass with a selection every 50 ms; returns how often the workflow was selected. */
    const passTime = (milliseconds: number): number => {
        let selected = 0;
        for (let passed = 0; passed <= milliseconds; passed += passInterval) {
            selected += starving.select(candidates).length;
            jest.advanceTimersByTime(passInterval);
        }
        return selected;
    };

    // Guards against a gap of over 3 s under a busy holder, since a second run was taken for the end of the starvation.
    it("gets the next run soon, though it had two runs meanwhile", () => {
        runs = 2;
        passTime(1_000);
        runs = 0;
        expect(passTime(nextRunBound)).toBeGreaterThan(0);
    });

    // Guards against the same, since no task of the workflow is open while the end of its last run is being stored.
    it("gets the next run soon after the end of its last run has been stored", () => {
        runs = 1;
        passTime(1_000);
        runs = 0;
        candidates = [];
        passTime(passInterval);
        candidates = [candidate];
        expect(passTime(nextRunBound)).toBeGreaterThan(0);
    });

    it("has to starve again if it has had several runs for long", () => {
        runs = 2;
        passTime(6_000);
        runs = 0;
        expect(passTime(nextRunBound)).toBe(0);
    });
});
