import type { CellId, JobId, WorkerId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import type { CellWorker, CellWorkers } from "../src/cell/cell-workers.js";
import { createRun } from "../src/cell/create-run.js";
import { createResourceAccount } from "../src/cell/resource-account.js";
import { createRunRegistry } from "../src/cell/run-registry.js";
import { createWorkerReservations } from "../src/cell/worker-reservations.js";
import type { WorkerSession } from "../src/cell/worker-session.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import type { Step } from "../src/model/step.js";
import type { TaskName } from "../src/model/task-name.js";
import { rankCells } from "../src/policy/rank-cells.js";
import { createTestCell } from "./test-cell.js";
import { testQueue } from "./test-queue.js";

const worker = (id: string, accelerators: number): CellWorker => ({
    session: { id: id as WorkerId } as Partial<WorkerSession> as WorkerSession,
    resources: createResourceAccount({ cpu: 16_000, memory: 64_000, accelerators }),
    isOnRoster: true,
    unlistedSince: undefined,
    drainingSince: undefined,
    isDomainOpen: () => true,
    isEvacuated: () => false,
    stop: () => undefined,
});
const longRunning = createStep({ count: 1, cpu: 8_000, isLasting: true });
const waiting = "00000000000000ff.0.0.0" as TaskName;

const setUp = (accelerators: Record<string, number>) => {
    const workers: CellWorkers = new Map(
        Object.entries(accelerators).map(([id, count]) => [id as WorkerId, worker(id, count)]),
    );
    const runRegistry = createRunRegistry();
    const reservations = createWorkerReservations({ workers, runRegistry, runTimeOf: () => 1_000 });
    const startRun = (id: string, step: Step, index: number): void => {
        const ledger = createWorkflowLedger({
            id: index.toString(16).padStart(16, "0") as JobId,
            queue: testQueue,
            payload: "",
            steps: [step],
            acceptedAt: Date.now(),
        });
        const position = { job: ledger.workflow.id, occurrence: 0, step: 0, index: 0 };
        const created = createRun({
            task: `${position.job}.0.0.0` as TaskName,
            position,
            number: 1,
            worker: id as WorkerId,
            ledger,
            step,
            checkpoint: "",
        });
        created.phase = "running";
        runRegistry.add(created);
        workers.get(id as WorkerId)?.resources.add(step);
    };
    const reserveIn = (step: Step): string[] => {
        reservations.beginPass();
        reservations.reserve(waiting, step, [...workers.values()]);
        return [...workers.values()].filter(reservations.isReserved).map(({ session }) => session.id);
    };
    return { startRun, reserveIn, reservations, workers };
};

// Guards against reserving a worker on which the task can't start, or starts later than on others.
describe("a worker reserved for a long-running task", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    it("has the accelerators that the task requires", () => {
        const { startRun, reserveIn } = setUp({ plain: 0, gpu: 1 });
        startRun("gpu", createStep({ count: 1, cpu: 12_000, accelerators: 1 }), 1);
        expect(reserveIn({ ...longRunning, accelerators: 1 })).toEqual(["gpu"]);
    });

    it("is not one with an overdue run while runs on other workers are about to end", () => {
        const { startRun, reserveIn } = setUp({ overdue: 0, soon: 0 });
        startRun("overdue", createStep({ count: 1, cpu: 12_000 }), 1);
        jest.advanceTimersByTime(20_000);
        startRun("soon", createStep({ count: 1, cpu: 12_000 }), 2);
        jest.advanceTimersByTime(900);
        expect(reserveIn(longRunning)).toEqual(["soon"]);
    });
});

// Guards against a long-running task that stays absent because another task took the room on its reserved worker.
describe("a reserved worker whose room another long-running task has taken", () => {
    it("is replaced by one on which the task will fit", () => {
        const { startRun, reserveIn } = setUp({ taken: 0, other: 0 });
        startRun("taken", createStep({ count: 1, cpu: 12_000 }), 1);
        expect(reserveIn(longRunning)).toEqual(["other"]);
        startRun("other", createStep({ count: 1, cpu: 12_000, isLasting: true }), 2);
        expect(reserveIn(longRunning)).toEqual(["taken"]);
    });
});

// Guards against a reservation that is forgotten between the passes of a round, so that other tasks take the room for
// which a long-running task waits before it has its turn again.
describe("a reserved worker, when a pass ends before all steps had their turn", () => {
    const reserveOne = () => {
        const { startRun, reserveIn, reservations, workers } = setUp({ busy: 0 });
        startRun("busy", createStep({ count: 1, cpu: 12_000 }), 1);
        expect(reserveIn(longRunning)).toEqual(["busy"]);
        return { reservations, isReserved: () => [...workers.values()].some(reservations.isReserved) };
    };

    it("stays reserved in the passes that go on", () => {
        const { reservations, isReserved } = reserveOne();
        reservations.beginPass(true);
        expect(isReserved()).toBe(true);
        reservations.beginPass();
        expect(isReserved()).toBe(false);
    });

    it("is released when the task has its turn again", () => {
        const { reservations, isReserved } = reserveOne();
        reservations.beginPass(true);
        reservations.release(waiting);
        expect(isReserved()).toBe(false);
    });
});

// Guards against two members of a gang on one worker if the step allows one per worker.
describe("a gang with a limit per worker", () => {
    it("never has more members on a worker than the limit", () => {
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: 1_000 });
        cell.submit({}, [{ count: 2, cpu: 11_000, isLasting: true }]);
        cell.scheduler.runPass();
        cell.submit({}, [{ count: 2, cpu: 2_000, isGang: true, perWorkerLimit: 1 }]);
        cell.scheduler.runPass();
        const gangWorkers = [...cell.runRegistry.all()].filter(run => run.step.isGang).map(run => run.worker);
        expect(new Set(gangWorkers).size).toBe(gangWorkers.length);
        expect(gangWorkers).toHaveLength(2);
    });
});

// Guards against tasks without accelerators that are blocked by a task for which there are no accelerators.
describe("a step that requires accelerators and finds none", () => {
    it("does not keep larger steps without accelerators from starting in the pass", () => {
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: 1_000 });
        cell.submit({}, [{ count: 1, cpu: 1_000, memory: 1, accelerators: 1 }]);
        cell.submit({}, [{ count: 1, cpu: 2_000, memory: 1 }]);
        cell.scheduler.runPass();
        expect([...cell.runRegistry.all()]).toHaveLength(1);
    });
});

// Guards against a long-running workflow that waits in a cell without room or workers while other cells have room.
describe("the cell chosen for a long-running workflow", () => {
    const cell = (id: string, usedCpu: number, capacityCpu: number) => ({
        cell: id as CellId,
        capacityCpu,
        usedCpu,
        backlog: [],
        racks: [],
        sentCpu: 0,
        isNear: true,
    });
    const firsts = (candidates: ReturnType<typeof cell>[], cpu = 8_000): Map<string, number> => {
        const counts = new Map<string, number>();
        for (let job = 0; job < 1_000; job += 1) {
            const id = job.toString(16).padStart(16, "0") as JobId;
            const [first = ""] = rankCells([createStep({ count: 5, cpu, isLasting: true })], 0, candidates, id);
            counts.set(first, (counts.get(first) ?? 0) + 1);
        }
        return counts;
    };

    it("is never one without room while others have room", () => {
        const counts = firsts([
            cell("full", 650_000, 656_000),
            cell("a", 520_000, 656_000),
            cell("b", 520_000, 656_000),
        ]);
        expect(counts.get("full") ?? 0).toBe(0);
    });

    it("is never one without workers while others have room", () => {
        const counts = firsts([cell("empty", 0, 0), cell("a", 520_000, 656_000), cell("b", 520_000, 656_000)]);
        expect(counts.get("empty") ?? 0).toBe(0);
    });
});
