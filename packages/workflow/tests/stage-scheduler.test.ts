import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import type { Run } from "../src/cell/run.js";
import type { WorkflowLedger } from "../src/ledger/workflow-ledger.js";
import type { TestCell } from "./test-cell.js";
import { createTestCell } from "./test-cell.js";

/** Milliseconds between two passes. */
const passInterval = 50;
/** Milliseconds for which a long-running task may be without a run although the cell has capacity for it. */
const longestAbsence = 3_000;
/** Milliseconds for which an urgent task runs. */
const urgentWork = 1_000;

describe("a placement pass", () => {
    // Guards against passes that overload the processor of a holder with many workers: each task that looked for a
    // worker inspected the state of all workers again.
    it("inspects each worker once, and again only after a start on it", () => {
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

    // Guards against the same overload by interference estimates: each waiting step looked up the interference of all
    // colocated tasks with each other again.
    it("looks up the interference between present tasks once per worker and image", () => {
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
        cell.counts.interferences = 0;
        cell.scheduler.runPass();
        expect([...cell.runRegistry.all()]).toHaveLength(before);
        expect(cell.counts.interferences).toBeLessThanOrEqual(before + 10 * waiting);
    });
});

describe("a workflow that was accepted as late", () => {
    // Guards against a burst in which work that can't be in time takes the room of work that can.
    it("starts after work that can be in time, and the rate of starts is known while it waits", () => {
        jest.useFakeTimers();
        const cell = createTestCell({ workers: 10, cpu: 4_000, runTime: 1_000 });
        const queue = { priority: 2 };
        const late = cell.submit(queue, [{ count: 100, cpu: 1_000 }], { isLate: true, acceptedAt: Date.now() - 500 });
        const inTime = cell.submit(queue, [{ count: 100, cpu: 1_000 }]);
        for (let pass = 0; pass < 20; pass += 1) {
            cell.scheduler.runPass();
            [...cell.runRegistry.all()].slice(0, 4).forEach(run => {
                cell.endRun(run, "done");
            });
            jest.advanceTimersByTime(passInterval);
        }
        const started = ({ stage }: WorkflowLedger): number =>
            100 - (stage({ occurrence: 0, step: 0, index: 0 })?.record.waiting.size ?? 0);
        // The first pass fills 40 places, and four become free for each of the others.
        expect([started(inTime), started(late)]).toEqual([100, 16]);
        expect(cell.scheduler.startRate("reserved", 0)).toBeCloseTo(4 * 1_000 * 1_000 / passInterval, -4);
        expect(cell.scheduler.startRate("spare", 0)).toBeUndefined();
        jest.useRealTimers();
    });

    // Guards against submissions that are refused or late because of steps that wait for others, and not for room.
    it("counts as waiting work only what a pass found no room for", () => {
        const cell = createTestCell({ workers: 10, cpu: 4_000, runTime: 1_000 });
        const later = { count: 500, cpu: 1_000, after: [0] };
        cell.submit({}, [{ count: 30, cpu: 1_000 }, later]);
        cell.scheduler.runPass();
        const before = cell.scheduler.waitingWork();
        cell.submit({}, [{ count: 30, cpu: 1_000 }, later]);
        cell.scheduler.runPass();
        const works = cell.scheduler.waitingWork().map(({ pool, work }) => [pool, work]);
        expect([before, works]).toEqual([[], [["reserved", 20 * 1_000 * 1_000]]]);
    });
});

describe("passes while spare-CPU steps of many images find no worker", () => {
    const workers = 50;
    const images = 20;
    /** Milliseconds within which a step starts once a worker is idle; the retry interval and one pass. */
    const retryBound = 200;
    let cell: TestCell;
    beforeEach(() => {
        jest.useFakeTimers();
        cell = createTestCell({ workers, cpu: 10_000, runTime: 1_000 });
        cell.submit({ priority: 2 }, [{ count: workers, cpu: 10_000, usesSpareCpu: true, image: "present" }]);
        cell.scheduler.runPass();
        for (let image = 0; image < images; image += 1) {
            cell.submit({ priority: 2 }, [{ cpu: 10_000, usesSpareCpu: true, image: `image-${String(image)}` }]);
        }
        cell.scheduler.runPass();
        jest.advanceTimersByTime(retryBound);
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    // Guards against a holder that falls further behind the more work waits: each pass, up to 50 a second, inspected all
    // workers for each image that no worker could take.
    it("inspect the workers for each image once, not in each pass", () => {
        const countInspections = (passes: number): number => {
            cell.counts.runTimes = 0;
            for (let pass = 0; pass < passes; pass += 1) {
                cell.scheduler.runPass();
            }
            return cell.counts.runTimes;
        };
        const perPass = countInspections(1);
        const inNinePasses = countInspections(9);
        expect(perPass).toBeGreaterThanOrEqual(workers * images);
        expect(inNinePasses).toBeLessThan(perPass);
    });

    // Guards against spare-CPU work that waits beside idle workers because it found none before.
    it("start a step soon after a worker has become idle", () => {
        cell.scheduler.runPass();
        const [run] = [...cell.runRegistry.all()];
        if (run !== undefined) {
            cell.endRun(run, "done");
        }
        jest.advanceTimersByTime(retryBound);
        cell.scheduler.runPass();
        expect([...cell.runRegistry.all()]).toHaveLength(workers);
    });
});

// Guards against a holder that inspects all runs of all workers again for each long-running task without room.
describe("a pass with many long-running tasks that find no room", () => {
    it("looks up the expected time of each run once", () => {
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
        // In addition, each waiting step looks up the run times on its own path.
        expect(cell.counts.runTimes).toBeLessThanOrEqual(runs + 30 * 10);
    });
});

// Guards against a holder that inspects all workers again for each long-running task of draining workers.
describe("a pass with many long-running tasks on draining workers", () => {
    it("inspects each worker once", () => {
        const cell = createTestCell({ workers: 40, cpu: 16_000, runTime: 1_000 });
        for (let workflow = 0; workflow < 16; workflow += 1) {
            cell.submit({}, [{ count: 10, cpu: 4_000, isLasting: true }]);
        }
        cell.scheduler.runPass();
        expect([...cell.runRegistry.all()]).toHaveLength(160);
        [...new Set([...cell.runRegistry.all()].map(run => run.worker))].slice(0, 8).forEach(cell.drainWorker);
        cell.counts.deadlines = 0;
        cell.counts.summaries = 0;
        cell.scheduler.runPass();
        expect(cell.counts.deadlines).toBeLessThanOrEqual(40);
        expect(cell.counts.summaries).toBeLessThanOrEqual(40);
    });
});

describe("a long-running task that lost its run in a full cell", () => {
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

    // Guards against new tasks that take the room of a lost one which may not start yet, after an unanswered start.
    it("finds its room free once it may start, although new long-running tasks wait", () => {
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: urgentWork });
        const lost = cell.submit({}, [{ count: 1, cpu: 16_000, isLasting: true }]);
        cell.submit({}, [{ count: 2, cpu: 16_000, isLasting: true }]);
        cell.scheduler.runPass();
        const [lostRun] = runsOf(cell, run => run.ledger === lost);
        expect(runsOf(cell, run => run !== lostRun)).toHaveLength(1);
        if (lostRun !== undefined) {
            cell.constrainedTasks.add(lostRun.task);
            cell.endRun(lostRun, "lost");
        }
        for (let time = 0; time < 2 * urgentWork; time += passInterval) {
            cell.scheduler.runPass();
            advance(passInterval);
        }
        expect([...cell.runRegistry.all()]).toHaveLength(1);
        cell.constrainedTasks.clear();
        cell.scheduler.runPass();
        expect(runsOf(cell, run => run.ledger === lost)).toHaveLength(1);
    });

    // Guards against a task that waits for long before another cell is asked for room, as other tasks of its step are
    // started again and again (random day 123 with full cells).
    it("counts as without room for as long as it waits, although others of its step start", () => {
        const cell = createTestCell({ workers: 1, cpu: 8_000, runTime: urgentWork });
        const workflow = cell.submit({}, [{ count: 3, cpu: 4_000, isLasting: true }]);
        const record = workflow.openStages(0, 0)[0]?.record;
        cell.scheduler.runPass();
        const since = performance.now();
        expect(record?.noRoomSince).toBe(since);
        advance(300);
        const [run] = runsOf(cell, () => true);
        if (run !== undefined) {
            cell.endRun(run, "lost");
        }
        cell.scheduler.runPass();
        expect([runsOf(cell, () => true).length, record?.noRoomSince]).toEqual([2, since]);
    });

    // Guards against starvation of a long-running task: smaller urgent tasks take all room as soon as it becomes free.
    it("runs again within the bound although smaller urgent tasks take all room that becomes free", () => {
        const cell = createTestCell({ workers: 5, cpu: 16_000, runTime: urgentWork });
        const longRunning = cell.submit({}, [{ count: 5, cpu: 7_000, isLasting: true }]);
        const longRunningRuns = (): Run[] => runsOf(cell, run => run.ledger === longRunning);
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
        const [lostRun] = longRunningRuns();
        expect(longRunningRuns()).toHaveLength(5);
        if (lostRun !== undefined) {
            runsOf(cell, run => run.worker === lostRun.worker).forEach(run => {
                cell.endRun(run, "lost");
            });
            cell.removeWorker(lostRun.worker);
        }
        let absent = 0;
        while (longRunningRuns().length < 5 && absent <= longestAbsence) {
            tick();
            absent += passInterval;
        }
        expect(absent).toBeLessThanOrEqual(longestAbsence);
    });
});

describe("the log line on a step that waits", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    const noExclusions = {
        reserved: 0,
        atLimit: 0,
        unansweredStart: 0,
        untrusted: 0,
        interference: 0,
        keptForUrgent: 0,
    };
    const waits = (cell: TestCell, ledger: WorkflowLedger): Readonly<Record<string, unknown>>[] =>
        cell.logged("step waits").filter(line => line["job"] === ledger.workflow.id);

    it("counts the workers without room by what they lack", () => {
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: 1_000 });
        cell.submit({}, [{ count: 1, cpu: 10_000 }]);
        cell.submit({}, [{ count: 1, memory: 60_000 }]);
        cell.scheduler.runPass();
        const workflow = cell.submit({}, [{ cpu: 10_000, memory: 10_000 }]);
        cell.scheduler.runPass();
        expect(waits(cell, workflow)).toMatchObject([
            { cpu: 10_000, memory: 10_000, lacking: { label: 0, cpu: 1, memory: 1, accelerators: 0 }, withRoom: 0 },
        ]);
    });

    it("counts the workers that are reserved for other tasks", () => {
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: 1_000 });
        cell.submit({}, [{ count: 2, cpu: 10_000 }]);
        cell.scheduler.runPass();
        cell.submit({}, [{ cpu: 16_000, isLasting: true }]);
        const late = cell.submit({ priority: 2 }, [{ count: 2, cpu: 4_000 }]);
        cell.scheduler.runPass();
        expect(waits(cell, late)).toMatchObject([
            { lasting: "no", withRoom: 1, excluded: { ...noExclusions, reserved: 1 } },
        ]);
    });

    it("counts the workers that run as many tasks of the step as they may", () => {
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: 1_000 });
        const workflow = cell.submit({}, [{ count: 3, perWorkerLimit: 1 }]);
        cell.scheduler.runPass();
        expect(waits(cell, workflow)).toMatchObject([{ withRoom: 2, excluded: { ...noExclusions, atLimit: 2 } }]);
    });

    it("counts the workers on which a task may not start after an unanswered start", () => {
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: 1_000, constraintOf: () => "nowhere" });
        const workflow = cell.submit({}, [{ count: 3 }]);
        cell.scheduler.runPass();
        expect(waits(cell, workflow)).toMatchObject([
            { tasks: 3, withRoom: 2, excluded: { ...noExclusions, unansweredStart: 2 } },
        ]);
    });

    it("counts the workers that are not trusted", () => {
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: 1_000, startLimit: 1 });
        const workflow = cell.submit({}, [{ count: 3 }]);
        cell.scheduler.runPass();
        expect(waits(cell, workflow)).toMatchObject([
            { withRoom: 2, trusted: 0, excluded: { ...noExclusions, untrusted: 2 } },
        ]);
    });

    it("counts the workers on which the task would interfere with serving tasks", () => {
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: 1_000 });
        const workflow = cell.submit({}, [{ cpu: 60_000, usesSpareCpu: true, image: "batch" }]);
        cell.scheduler.runPass();
        expect(waits(cell, workflow)).toMatchObject([{ withRoom: 2, excluded: { ...noExclusions, interference: 2 } }]);
    });

    it("counts the workers whose room is kept for urgent work", () => {
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: 1_000 });
        cell.submit({}, [{ count: 8, cpu: 4_000 }]);
        cell.scheduler.runPass();
        jest.advanceTimersByTime(passInterval);
        cell.scheduler.runPass();
        for (const run of [...cell.runRegistry.all()]) {
            cell.endRun(run, "done");
        }
        jest.advanceTimersByTime(passInterval);
        const workflow = cell.submit({}, [{ count: 2, cpu: 4_000, isLasting: true }]);
        cell.scheduler.runPass();
        expect(waits(cell, workflow)).toMatchObject([
            {
                tasks: 1,
                lasting: "new",
                withRoom: 2,
                isKeptForUrgent: true,
                excluded: { ...noExclusions, keptForUrgent: 2 },
            },
        ]);
    });

    // Guards against steps that wait without a line in the log: those with the requirements of a step that found no
    // worker in the same pass.
    it("names the step without a worker that an equal or larger step waits behind", () => {
        const cell = createTestCell({ workers: 1, cpu: 16_000, runTime: 1_000 });
        const first = cell.submit({}, [{ cpu: 17_000 }]);
        const second = cell.submit({}, [{ cpu: 18_000 }]);
        cell.scheduler.runPass();
        expect(waits(cell, second)).toMatchObject([{ withRoom: 0, blockedBy: `${first.workflow.id}.0.0` }]);
    });

    // Guards against gangs that wait without a line in the log.
    it("is written for a gang whose members can't all start", () => {
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: 1_000 });
        const gang = cell.submit({}, [{ count: 3, cpu: 9_000, isGang: true }]);
        cell.scheduler.runPass();
        expect(waits(cell, gang)).toMatchObject([{ tasks: 3, withRoom: 2, excluded: noExclusions }]);
    });

    // Guards against a log that can't tell a task that lost its run just now from one that has waited since its step
    // was ready.
    it("tells for how long a long-running task has had no run", () => {
        const cell = createTestCell({ workers: 1, cpu: 16_000, runTime: 1_000 });
        const workflow = cell.submit({}, [{ cpu: 16_000, isLasting: true }]);
        cell.scheduler.runPass();
        jest.advanceTimersByTime(10_000);
        for (const run of [...cell.runRegistry.all()]) {
            cell.endRun(run, "lost");
            cell.removeWorker(run.worker);
        }
        for (const pause of [400, 600, 999, 401]) {
            jest.advanceTimersByTime(pause);
            cell.scheduler.runPass();
        }
        expect(waits(cell, workflow)).toMatchObject([
            { waited: 10_400, withoutRunFor: 400, lasting: "first" },
            { waited: 12_400, withoutRunFor: 2_400 },
        ]);
    });
});
