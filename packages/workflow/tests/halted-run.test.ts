import { createWorkerHealth } from "@jayfront/policy";
import type { JobId, WorkerId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import type { RunWatchdog } from "../src/cell/run-watchdog.js";
import { createRunWatchdog } from "../src/cell/run-watchdog.js";
import type { Run } from "../src/cell/run.js";
import { createStep } from "../src/model/create-step.js";
import type { Step } from "../src/model/step.js";
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
        watchdog = createRunWatchdog({
            runRegistry: cell.runRegistry,
            runController: { stop },
            workers: cell.workers,
            health: createWorkerHealth({ initialStartLimit: 1_000 }),
            runTime: () => 1_000,
            queueOf: ({ ledger }) => ledger.workflow.queue,
            replacementPlaces: cell.replacementPlaces,
            keepPlaceElsewhere: cell.scheduler.keepPlaceElsewhere,
        });
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
