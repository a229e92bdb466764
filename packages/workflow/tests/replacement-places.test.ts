import type { WorkerId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";

import type { Run } from "../src/cell/run.js";
import type { WorkflowLedger } from "../src/ledger/workflow-ledger.js";
import type { TestCell } from "./test-cell.js";
import { createTestCell } from "./test-cell.js";

const [first, second] = ["w-0" as WorkerId, "w-1" as WorkerId];
const runsOn = (cell: TestCell, worker: WorkerId): readonly Run[] => [...cell.runRegistry.ofWorker(worker)];
const placesOf = (cell: TestCell, runs: readonly Run[]): readonly Run[] =>
    runs.filter(run => cell.replacementPlaces.has(run.task));

describe("long-running tasks of a draining worker", () => {
    // Guards against all tasks of a draining worker being stopped for the sake of room that only one of them gets.
    it("get as many places as there is room for", () => {
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: 1_000 });
        cell.submit({}, [{ count: 5, cpu: 4_000, isLasting: true }]);
        cell.scheduler.runPass();
        const room = 4 - runsOn(cell, second).length;
        expect(room).toBeGreaterThan(0);
        cell.drainWorker(first);
        for (let pass = 0; pass < 2; pass += 1) {
            cell.scheduler.runPass();
            expect(placesOf(cell, runsOn(cell, first))).toHaveLength(room);
        }
    });

    // Guards against a stop of a task that then finds no worker on which its step may have another task.
    it("get no place where their step's limit per worker is reached", () => {
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: 1_000 });
        cell.submit({}, [{ count: 2, cpu: 4_000, isLasting: true, perWorkerLimit: 1 }]);
        cell.scheduler.runPass();
        cell.drainWorker(first);
        cell.scheduler.runPass();
        expect(placesOf(cell, runsOn(cell, first))).toEqual([]);
    });

    // Guards against new tasks that take the room which becomes free while a worker drains.
    it("get room before new long-running tasks, and start there once they have stopped", () => {
        const cell = createTestCell({ workers: 3, cpu: 16_000, runTime: 1_000 });
        const large = { cpu: 16_000, isLasting: true };
        const [kept, cancelled, waiting] = [1, 1, 2].map(count => cell.submit({}, [{ count, ...large }]));
        cell.scheduler.runPass();
        const runOf = (ledger: WorkflowLedger | undefined): Run | undefined =>
            [...cell.runRegistry.all()].find(run => run.ledger === ledger);
        const [leaving, ending] = [runOf(kept), runOf(cancelled)];
        if (leaving === undefined || ending === undefined) {
            throw new Error("both workflows should have a run");
        }
        cell.drainWorker(leaving.worker);
        cell.scheduler.runPass();
        expect(placesOf(cell, [leaving])).toEqual([]);
        cancelled?.recordCancellation();
        cell.endRun(ending, "lost");
        cell.scheduler.runPass();
        expect(placesOf(cell, [leaving])).toEqual([leaving]);
        cell.endRun(leaving, "lost");
        cell.scheduler.runPass();
        expect(runOf(kept)?.worker).toBe(ending.worker);
        expect(cell.runRegistry.ofWorkflow(waiting?.workflow.id ?? leaving.position.job)).toHaveLength(1);
    });

    // Guards against room that stays in use for a task that no longer needs it.
    it("give up their places when their workflow is cancelled", () => {
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: 1_000 });
        const ledger = cell.submit({}, [{ count: 1, cpu: 16_000, isLasting: true }]);
        cell.scheduler.runPass();
        const [run] = [...cell.runRegistry.all()];
        cell.drainWorker(run?.worker ?? first);
        cell.scheduler.runPass();
        expect(placesOf(cell, [...cell.runRegistry.all()])).toHaveLength(1);
        ledger.recordCancellation();
        cell.submit({}, [{ count: 1, cpu: 16_000, isLasting: true }]);
        cell.scheduler.runPass();
        expect([...cell.runRegistry.all()]).toHaveLength(2);
    });

    // Guards against passes that look up each waiting task although no task of its step has a place.
    it("cost nothing for short-lived steps that wait without a place", () => {
        let lookUps = 0;
        const constraintOf = (): undefined => {
            lookUps += 1;
            return undefined;
        };
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: 1_000, constraintOf });
        cell.submit({}, [{ count: 10_000, cpu: 16_000 }]);
        cell.scheduler.runPass();
        lookUps = 0;
        cell.scheduler.runPass();
        expect(lookUps).toBeLessThan(10);
    });

    // Guards against a task that finds no room since its own place takes it.
    it("start on their places although their worker crashed meanwhile", () => {
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: 1_000 });
        const ledger = cell.submit({}, [{ count: 1, cpu: 16_000, isLasting: true }]);
        cell.scheduler.runPass();
        const [run] = [...cell.runRegistry.all()];
        if (run === undefined) {
            throw new Error("the workflow should have a run");
        }
        cell.drainWorker(run.worker);
        cell.scheduler.runPass();
        expect(placesOf(cell, [run])).toEqual([run]);
        ledger.recordCrash(run.position, run.number, 1);
        ledger.markStored(ledger.revision());
        cell.endRun(run, "lost");
        cell.removeWorker(run.worker);
        cell.scheduler.runPass();
        expect([...cell.runRegistry.all()]).toHaveLength(1);
    });

    // Guards against starvation of a large task by smaller urgent tasks while its worker drains.
    it("keep smaller urgent tasks off the worker with the soonest room", () => {
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: 1_000 });
        cell.submit({}, [{ count: 1, cpu: 12_000, isLasting: true }]);
        cell.scheduler.runPass();
        const [leaving] = [...cell.runRegistry.all()];
        const other = leaving?.worker === first ? second : first;
        cell.submit({}, [{ count: 5, cpu: 4_000 }]);
        cell.scheduler.runPass();
        cell.drainWorker(leaving?.worker ?? first);
        for (let ended = 0; ended < 3; ended += 1) {
            const [urgent] = runsOn(cell, other).filter(run => !run.step.isLasting);
            if (urgent !== undefined) {
                cell.endRun(urgent, "done");
            }
            cell.submit({}, [{ count: 1, cpu: 4_000 }]);
            cell.scheduler.runPass();
        }
        expect(placesOf(cell, leaving === undefined ? [] : [leaving])).toHaveLength(1);
    });
});
