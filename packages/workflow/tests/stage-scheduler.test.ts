import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import type { Run } from "../src/cell/run.js";
import type { TestCell } from "./test-cell.js";
import { createTestCell } from "./test-cell.js";

const passInterval = 50;
/** Milliseconds for which a lasting task may stay away while there is room for it. */
const longestAbsence = 3_000;
const urgentWork = 1_000;

describe("a placement pass", () => {
    // Guards against a holder whose processor can't carry a whole site: each task that looked for a worker went through
    // the state of all of them again.
    it("goes through the workers once, and again only for one on which something has started", () => {
        const cell = createTestCell({ workers: 50, cpu: 16_000, runTime: 1_000 });
        for (const image of ["a", "b", "c"]) {
            cell.submit({ priority: 2 }, [{ count: 20, cpu: 2_000, usesSpareCpu: true, image }]);
        }
        cell.scheduler.runPass();
        const started = [...cell.runRegistry.all()].length;
        expect(started).toBe(60);
        expect(cell.counts.summaries).toBeLessThanOrEqual(50 + started);
        expect(cell.counts.deadlines).toBe(50);
    });

    // Guards against the same by what stands on workers: each waiting step asked for the pressure of all neighbours on
    // each other again.
    it("asks for the pressure of present neighbours once for each worker and image", () => {
        const cell = createTestCell({ workers: 10, cpu: 16_000, runTime: 1_000 });
        cell.submit({}, [{ count: 40, cpu: 4_000, isLasting: true, image: "serving", tailTarget: 100 }]);
        cell.submit({ priority: 2 }, [{ count: 20, cpu: 1_000, usesSpareCpu: true, image: "present" }]);
        cell.scheduler.runPass();
        const waiting = 20;
        for (let step = 0; step < waiting; step += 1) {
            const image = `image-${String(step)}`;
            cell.submit({ priority: 2 }, [{ count: 5, cpu: 60_000, usesSpareCpu: true, image }]);
        }
        const before = [...cell.runRegistry.all()].length;
        cell.counts.pressures = 0;
        cell.scheduler.runPass();
        expect([...cell.runRegistry.all()]).toHaveLength(before);
        expect(cell.counts.pressures).toBeLessThanOrEqual(before + 10 * waiting);
    });
});

// Guards against a holder that goes through all runs of all workers again for each lasting task without room.
describe("a pass with many lasting tasks that find no room", () => {
    it("looks each run up once", () => {
        const cell = createTestCell({ workers: 40, cpu: 16_000, runTime: 10_000 });
        cell.submit({}, [{ count: 160, cpu: 4_000 }]);
        cell.scheduler.runPass();
        const runs = [...cell.runRegistry.all()].length;
        expect(runs).toBe(160);
        for (let job = 0; job < 30; job += 1) {
            cell.submit({}, [{ count: 24, cpu: 4_000 + job, isLasting: true }]);
        }
        cell.counts.runTimes = 0;
        cell.scheduler.runPass();
        // Each of the waiting steps asks for the times of its own path beside that.
        expect(cell.counts.runTimes).toBeLessThanOrEqual(runs + 30 * 10);
    });
});

describe("a lasting task that lost its run in a full cell", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    const advance = (milliseconds: number): void => {
        jest.advanceTimersByTime(milliseconds);
    };
    const runsOf = (cell: TestCell, predicate: (run: Run) => boolean): Run[] =>
        [...cell.runRegistry.all()].filter(predicate);
    const endOldUrgent = (cell: TestCell): void => {
        for (const run of runsOf(cell, ({ step }) => !step.isLasting)) {
            if (performance.now() - run.startedAt >= urgentWork) {
                cell.endRun(run, "done");
            }
        }
    };

    // Guards against a lasting task that stays away for good: urgent tasks smaller than it take each hole as it comes up.
    it("runs again within the bound although smaller urgent tasks take every hole", () => {
        const cell = createTestCell({ workers: 5, cpu: 16_000, runTime: urgentWork });
        const lasting = cell.submit({}, [{ count: 5, cpu: 7_000, isLasting: true }]);
        const lastingRuns = (): Run[] => runsOf(cell, run => run.ledger === lasting);
        const tick = (): void => {
            cell.submit({}, [{ count: 1, cpu: 4_000, expectedRunTime: urgentWork }]);
            advance(passInterval);
            endOldUrgent(cell);
            cell.scheduler.runPass();
        };
        cell.scheduler.runPass();
        for (let time = 0; time < 2 * urgentWork; time += passInterval) {
            tick();
        }
        const [victim] = lastingRuns();
        expect(lastingRuns()).toHaveLength(5);
        if (victim !== undefined) {
            runsOf(cell, run => run.worker === victim.worker).forEach(run => {
                cell.endRun(run, "lost");
            });
            cell.removeWorker(victim.worker);
        }
        let absent = 0;
        while (lastingRuns().length < 5 && absent <= longestAbsence) {
            tick();
            absent += passInterval;
        }
        expect(absent).toBeLessThanOrEqual(longestAbsence);
    });
});
