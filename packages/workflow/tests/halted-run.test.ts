import { createWorkerHealth } from "@jayfront/policy";
import type { JobId, WorkerId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import { createRun } from "../src/cell/create-run.js";
import type { RunController } from "../src/cell/run-controller.js";
import type { RunWatchdog } from "../src/cell/run-watchdog.js";
import { createRunWatchdog } from "../src/cell/run-watchdog.js";
import type { Run } from "../src/cell/run.js";
import type { WorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import type { Step } from "../src/model/step.js";
import { taskName } from "../src/model/task-name.js";
import type { TestCell } from "./test-cell.js";
import { createTestCell } from "./test-cell.js";

/** Milliseconds after which a checkpointing run that is halted may be moved. */
const longestHalt = 700;
const servingStep: Partial<Step> = { count: 4, cpu: 2_000, memory: 1, isLasting: true, tailTarget: 10, image: "desk" };
const spareStep: Partial<Step> = {
    count: 1,
    cpu: 16_000,
    memory: 1,
    usesSpareCpu: true,
    isCheckpointing: true,
    image: "batch",
};
/** Stands for tasks that take all CPU of a worker. */
const fillerStep = createStep({ memory: 0 });

const unknownJob = "" as JobId;

/** The watchdog of a cell whose runs all take as long as those of the cell's scheduler. */
const createWatchdog = (cell: TestCell, stop: RunController["stop"]): RunWatchdog =>
    createRunWatchdog({
        runRegistry: cell.runRegistry,
        runController: { stop },
        workers: cell.workers,
        health: createWorkerHealth({ initialStartLimit: 1_000 }),
        runTime: () => 1_000,
        queueOf: ({ ledger }) => ledger.workflow.queue,
        replacementPlaces: cell.replacementPlaces,
        keepPlaceElsewhere: cell.scheduler.keepPlaceElsewhere,
        holdsReservedRoom: cell.scheduler.holdsReservedRoom,
    });

describe("a checkpointing run that is halted beside serving tasks", () => {
    let cell: TestCell;
    let watchdog: RunWatchdog;
    let run: Run | undefined;
    beforeEach(() => {
        jest.useFakeTimers();
        cell = createTestCell({ workers: 3, cpu: 16_000, runTime: 1_000 });
        const stop = (stopped: Run, reason: string): void => {
            stopped.phase = "stopping";
            stopped.stopReason = reason;
        };
        watchdog = createWatchdog(cell, stop);
        const workflow = cell.submit({ priority: 1 }, [spareStep]);
        cell.scheduler.runPass();
        [run] = cell.runRegistry.ofWorkflow(workflow.workflow.id);
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    /** Halts the run, and lets the longest halt pass. */
    const halt = (): void => {
        if (run !== undefined) {
            run.pace = 0;
            run.haltedSince = performance.now();
            jest.advanceTimersByTime(longestHalt);
            run.reportedAt = performance.now();
            watchdog.review();
        }
    };
    /** Adds serving tasks to the worker only. */
    const addServingTasks = (worker: WorkerId): void => {
        const others = [...cell.workers.values()].filter(({ session }) => session.id !== worker);
        const fillers = others.map(({ resources }) => ({
            resources,
            step: { ...fillerStep, cpu: resources.freeCpu() },
        }));
        fillers.forEach(({ resources, step }) => {
            resources.add(step);
        });
        cell.submit({}, [servingStep]);
        cell.scheduler.runPass();
        fillers.forEach(({ resources, step }) => {
            resources.remove(step);
        });
    };

    // Guards against work that is stopped and then excluded from all workers: its workflow has no run beside free room.
    it("goes on where it is, if it would interfere with serving tasks on all other workers", () => {
        [...cell.workers.keys()].forEach(addServingTasks);
        halt();
        expect(run?.phase).toBe("running");
    });

    // Guards against work that waits on its worker while others of its urgency start wherever serving tasks leave time.
    it("waits for its turn if another run of its workflow works", () => {
        [...cell.workers.keys()].forEach(addServingTasks);
        const [worker] = [...cell.workers.keys()].filter(id => id !== run?.worker);
        if (run !== undefined && worker !== undefined) {
            const origin = { ...run, task: taskName({ ...run.position, index: 1 }), worker };
            const other = createRun(origin);
            other.phase = "running";
            cell.runRegistry.add(other);
        }
        halt();
        expect(run?.phase).toBe("stopping");
    });

    // Guards against a run that is stopped for a worker on which its task is not started afterwards.
    it("moves to a worker that would take it", () => {
        addServingTasks(run?.worker ?? "" as WorkerId);
        halt();
        expect(run?.stopReason).toBe("halted");
        const [place] = [...cell.workers.keys()].filter(worker =>
            run !== undefined && cell.replacementPlaces.countOn(worker, run.position) > 0
        );
        cell.scheduler.runPass();
        if (run !== undefined) {
            cell.endRun(run, "lost");
        }
        cell.scheduler.runPass();
        expect(cell.runRegistry.ofWorkflow(run?.position.job ?? unknownJob).map(({ worker }) => worker)).toEqual([
            place,
        ]);
    });
});

describe("several checkpointing runs that are halted on one worker", () => {
    const step: Partial<Step> = { ...spareStep, count: 5, cpu: 500 };
    const [current, other] = ["w-0" as WorkerId, "w-1" as WorkerId];
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    /** Runs a pass as if the cell had one worker only. */
    const runPassWith = (cell: TestCell, id: WorkerId): void => {
        const all = new Map(cell.workers);
        [...all.keys()].filter(key => key !== id).forEach(key => cell.workers.delete(key));
        cell.scheduler.runPass();
        all.forEach((worker, key) => cell.workers.set(key, worker));
    };
    const countRunsOn = (cell: TestCell, worker: WorkerId, ledger: WorkflowLedger): number =>
        cell.runRegistry.ofWorkflow(ledger.workflow.id).filter(run => run.worker === worker).length;
    /** A cell with all spare-CPU tasks of a workflow on one worker, and serving tasks on all of them. */
    const createCell = (workers: number, spareCpu: number): { cell: TestCell; halted: WorkflowLedger; } => {
        const cell = createTestCell({ workers, cpu: 16_000, runTime: 1_000 });
        const halted = cell.submit({ priority: 1 }, [{ ...step, cpu: spareCpu }]);
        runPassWith(cell, current);
        [...cell.workers.keys()].forEach(id => {
            cell.submit({}, [{ ...servingStep, count: 1 }]);
            runPassWith(cell, id);
        });
        return { cell, halted };
    };
    /** Halts all spare-CPU runs of the cell for long enough, and returns those that are stopped. */
    const halt = (cell: TestCell): readonly Run[] => {
        const stopped: Run[] = [];
        const watchdog = createWatchdog(cell, run => {
            run.phase = "stopping";
            stopped.push(run);
        });
        const spareRuns = [...cell.runRegistry.all()].filter(run => run.step.usesSpareCpu);
        spareRuns.forEach(run => {
            run.pace = 0;
            run.haltedSince = performance.now();
        });
        jest.advanceTimersByTime(longestHalt);
        [...cell.runRegistry.all()].forEach(run => {
            run.reportedAt = performance.now();
        });
        watchdog.review();
        return stopped;
    };

    // Guards against runs that are stopped for a worker whose serving tasks tolerate fewer of them.
    it("move only as far as the other worker would get new tasks", () => {
        const { cell, halted } = createCell(2, 500);
        expect(countRunsOn(cell, current, halted)).toBe(step.count);
        const reference = createCell(2, 500).cell;
        const started = reference.submit({ priority: 1 }, [{ ...step, cpu: 500 }]);
        runPassWith(reference, other);
        expect(countRunsOn(reference, other, started)).toBeGreaterThan(0);
        expect(halt(cell)).toHaveLength(countRunsOn(reference, other, started));
    });

    // Guards against a review that inspects all workers for each of many halted runs.
    it("share the search for a worker if there is none", () => {
        const workers = 40;
        const { cell } = createCell(workers, 3_000);
        const before = cell.counts.summaries;
        expect(halt(cell)).toHaveLength(0);
        expect(cell.counts.summaries - before).toBeLessThanOrEqual(workers);
    });

    // Guards against a long-running task that waits for memory which halted runs hold for as long as they are halted.
    it("give up the memory for which a long-running task waits", () => {
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: 1_000 });
        cell.submit({ priority: 1 }, [{ ...spareStep, count: 2, memory: 64_000 }]);
        cell.scheduler.runPass();
        cell.submit({}, [{ ...servingStep, count: 1, memory: 1_000 }]);
        cell.scheduler.runPass();
        expect(halt(cell)).toHaveLength(1);
    });
});
