import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import type { Run } from "../src/cell/run.js";
import type { WorkflowLedger } from "../src/ledger/workflow-ledger.js";
import type { TestCell, TestCellOptions } from "./test-cell.js";
import { createTestCell } from "./test-cell.js";

/** Milliseconds of a pass. */
const passTime = 30;
const workers = 10;
/** Milliseconds that each start and each inspection of a worker takes. */
const workTime = 1;
/** Milliseconds of the longest search, which is completed: it inspects each worker once. */
const searchTime = workers * workTime;

describe("a placement pass with more work than its time allows", () => {
    /** Whether the work takes time. */
    let isTimed: boolean;
    beforeEach(() => {
        jest.useFakeTimers();
        isTimed = true;
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    const createSlowCell = (options: Partial<TestCellOptions> = {}): TestCell =>
        createTestCell({
            workers,
            cpu: 16_000,
            runTime: 1_000,
            passTime,
            onWork: () => {
                jest.advanceTimersByTime(isTimed ? workTime : 0);
            },
            ...options,
        });
    const untimed = <Result>(action: () => Result): Result => {
        isTimed = false;
        const result = action();
        isTimed = true;
        return result;
    };
    const runsOf = (cell: TestCell, ledger: WorkflowLedger): Run[] =>
        [...cell.runRegistry.all()].filter(run => run.ledger === ledger);
    /** Number of passes until all steps have had their turn, at most 100. */
    const runRound = (cell: TestCell): number => {
        let passes = 1;
        while (!cell.scheduler.runPass() && passes < 100) {
            passes += 1;
        }
        return passes;
    };
    const submitBatch = (cell: TestCell, count: number, cpu: number): WorkflowLedger[] =>
        Array.from(
            { length: count },
            (...[, index]) =>
                cell.submit({ priority: 2 }, [{ count: 4, cpu, usesSpareCpu: true, image: `image-${String(index)}` }]),
        );
    /** Milliseconds that a pass takes, apart from the search of candidates, whose run times are looked up once each. */
    const timePass = (cell: TestCell, steps: number): number => {
        const startedAt = performance.now();
        cell.scheduler.runPass();
        return performance.now() - startedAt - 2 * steps * workTime;
    };

    // Guards against a holder that sends no heartbeats and loses its cell while a pass inspects workers for all steps.
    it("ends soon after its time is over", () => {
        const cell = createSlowCell();
        submitBatch(cell, 60, 60_000);
        expect(timePass(cell, 60)).toBeLessThanOrEqual(passTime + searchTime);
    });

    // Guards against the same by a step of many tasks that all find a worker.
    it("ends soon after its time is over within a step of many tasks", () => {
        const cell = createSlowCell({ cpu: 160_000 });
        const workflow = cell.submit({}, [{ count: 300, cpu: 1_000 }]);
        expect(timePass(cell, 1)).toBeLessThanOrEqual(passTime + searchTime);
        expect(runsOf(cell, workflow).length).toBeGreaterThan(0);
    });

    // Guards against steps that never get their turn, since each pass begins with the most urgent ones.
    it("is continued by later passes until each step has had its turn", () => {
        const cell = createSlowCell();
        const tooLarge = submitBatch(cell, 60, 60_000);
        const small = cell.submit({ priority: 3 }, [{ count: 4, cpu: 1_000, usesSpareCpu: true, image: "small" }]);
        const passes = runRound(cell);
        expect(passes).toBeGreaterThan(1);
        expect(passes).toBeLessThanOrEqual(tooLarge.length);
        expect(runsOf(cell, small)).toHaveLength(4);
    });

    // Guards against other work that starves because urgent work takes the whole time of each pass.
    it("leaves a part of the time to other work while urgent work arrives all the time", () => {
        const cell = createSlowCell({ cpu: 1_000_000 });
        const batch = submitBatch(cell, 3, 1_000);
        for (let pass = 0; pass < 40; pass += 1) {
            cell.submit({ priority: 0 }, [{ count: 2 * passTime, cpu: 1, memory: 1, expectedRunTime: 1_000 }]);
            cell.scheduler.runPass();
        }
        expect(batch.map(ledger => runsOf(cell, ledger).length)).toEqual([4, 4, 4]);
    });

    // Guards against a second run of a task: a step whose turn ended with the part of the time that urgent work has was
    // visited again in the same pass, as it was at the beginning of the pass.
    it.each([
        ["an urgent step", { count: 2 * passTime, cpu: 1, memory: 1, expectedRunTime: 1_000 }],
        ["a long-running step", { count: 2 * passTime, cpu: 1, memory: 1, isLasting: true }],
    ])("starts each task of %s once", (...[, step]) => {
        const cell = createSlowCell({ cpu: 1_000_000 });
        const workflow = cell.submit({}, [step]);
        expect(runRound(cell)).toBeGreaterThan(1);
        const tasks = runsOf(cell, workflow).map(run => run.task);
        expect([tasks.length, new Set(tasks).size]).toEqual([step.count, step.count]);
    });

    // Guards against the same for the places of tasks on draining workers.
    it("keeps one place for each long-running task of draining workers", () => {
        const cell = createSlowCell({ cpu: 1_000_000 });
        untimed(() => {
            cell.submit({}, [{ count: 2 * passTime, cpu: 1, memory: 1, isLasting: true }]);
            cell.scheduler.runPass();
        });
        const drained = [...new Set([...cell.runRegistry.all()].map(run => run.worker))].slice(0, workers - 2);
        drained.forEach(cell.drainWorker);
        const draining = [...cell.runRegistry.all()].filter(run => drained.includes(run.worker)).length;
        const originalKeep = cell.replacementPlaces.keep;
        const keep = jest.spyOn(cell.replacementPlaces, "keep").mockImplementation(place => {
            jest.advanceTimersByTime(workTime);
            originalKeep(place);
        });
        expect(runRound(cell)).toBeGreaterThan(1);
        const tasks = keep.mock.calls.map(([place]) => place.task);
        expect([tasks.length, new Set(tasks).size]).toEqual([draining, draining]);
    });

    // Guards against urgent and long-running work that waits until the steps before it have had their turn.
    it("is continued with urgent and long-running work first", () => {
        const cell = createSlowCell();
        submitBatch(cell, 60, 60_000);
        expect(cell.scheduler.runPass()).toBe(false);
        const urgent = untimed(() => cell.submit({ priority: 0 }, [{ count: 2, cpu: 4_000, expectedRunTime: 1_000 }]));
        const longRunning = untimed(() => cell.submit({}, [{ cpu: 4_000, isLasting: true }]));
        expect(cell.scheduler.runPass()).toBe(false);
        expect([urgent, longRunning].map(ledger => runsOf(cell, ledger).length)).toEqual([2, 1]);
    });
});
