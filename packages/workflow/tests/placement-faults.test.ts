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
import { rankCells } from "../src/policy/choose-cell.js";
import { createTestCell } from "./test-cell.js";
import { testQueue } from "./test-queue.js";

const worker = (id: string, accelerators: number): CellWorker => ({
    session: { id: id as WorkerId } as Partial<WorkerSession> as WorkerSession,
    room: createResourceAccount({ cpu: 16_000, memory: 64_000, accelerators }),
    isOnRoster: true,
    unlistedSince: undefined,
    drainingSince: undefined,
    stop: () => undefined,
});
const lasting = createStep({ count: 1, cpu: 8_000, isLasting: true });
const waiting = "00000000000000ff.0.0.0" as TaskName;

const setUp = (accelerators: Record<string, number>) => {
    const workers: CellWorkers = new Map(
        Object.entries(accelerators).map(([id, count]) => [id as WorkerId, worker(id, count)]),
    );
    const book = createRunRegistry();
    const holder = createWorkerReservations({ workers, runRegistry: book, runTimeOf: () => 1_000 });
    const run = (id: string, step: Step, index: number): void => {
        const ledger = createWorkflowLedger({
            id: index.toString(16).padStart(16, "0") as JobId,
            queue: testQueue,
            payload: "",
            steps: [step],
            acceptedAt: Date.now(),
        });
        const position = { job: ledger.workflow.id, occurrence: 0, step: 0, index: 0 };
        const made = createRun({
            task: `${position.job}.0.0.0` as TaskName,
            position,
            number: 1,
            worker: id as WorkerId,
            ledger,
            step,
            checkpoint: "",
        });
        made.phase = "running";
        book.add(made);
        workers.get(id as WorkerId)?.room.add(step);
    };
    const holdIn = (step: Step): string[] => {
        holder.beginPass();
        holder.reserve(waiting, step, [...workers.values()]);
        return [...workers.values()].filter(holder.isReserved).map(({ session }) => session.id);
    };
    return { run, holdIn };
};

// Guards against holding a worker back on which the task can't start, or later than on others.
describe("a worker held back for a lasting task", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    it("has the accelerators that the task asks for", () => {
        const { run, holdIn } = setUp({ plain: 0, gpu: 1 });
        run("gpu", createStep({ count: 1, cpu: 12_000, accelerators: 1 }), 1);
        expect(holdIn({ ...lasting, accelerators: 1 })).toEqual(["gpu"]);
    });

    it("is not one whose run has long outlasted its expected time while others are about to end", () => {
        const { run, holdIn } = setUp({ overdue: 0, soon: 0 });
        run("overdue", createStep({ count: 1, cpu: 12_000 }), 1);
        jest.advanceTimersByTime(20_000);
        run("soon", createStep({ count: 1, cpu: 12_000 }), 2);
        jest.advanceTimersByTime(900);
        expect(holdIn(lasting)).toEqual(["soon"]);
    });
});

// Guards against a lasting task that stays away because its worker was given to another one.
describe("a held worker whose room a lasting task has taken", () => {
    it("is let go for one on which the task will fit", () => {
        const { run, holdIn } = setUp({ taken: 0, other: 0 });
        run("taken", createStep({ count: 1, cpu: 12_000 }), 1);
        expect(holdIn(lasting)).toEqual(["other"]);
        run("other", createStep({ count: 1, cpu: 12_000, isLasting: true }), 2);
        expect(holdIn(lasting)).toEqual(["taken"]);
    });
});

// Guards against two members of a gang on one worker where the step allows one.
describe("a gang with a limit per worker", () => {
    it("never has more members on a worker than the limit", () => {
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: 1_000 });
        cell.submit({}, [{ count: 2, cpu: 11_000, isLasting: true }]);
        cell.scheduler.runPass();
        cell.submit({}, [{ count: 2, cpu: 2_000, isGang: true, perWorkerLimit: 1 }]);
        cell.scheduler.runPass();
        const on = [...cell.runRegistry.all()].filter(run => run.step.isGang).map(run => run.worker);
        expect(new Set(on).size).toBe(on.length);
        expect(on).toHaveLength(2);
    });
});

// Guards against tasks without accelerators that wait behind one that finds none.
describe("a step that asks for accelerators and finds none", () => {
    it("does not keep larger steps without accelerators from starting in the pass", () => {
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: 1_000 });
        cell.submit({}, [{ count: 1, cpu: 1_000, memory: 1, accelerators: 1 }]);
        cell.submit({}, [{ count: 1, cpu: 2_000, memory: 1 }]);
        cell.scheduler.runPass();
        expect([...cell.runRegistry.all()]).toHaveLength(1);
    });
});

// Guards against a lasting workflow that waits in a full or empty cell while others have room.
describe("the cell drawn for a lasting workflow", () => {
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

    it("is none that has no room while others have", () => {
        const counts = firsts([
            cell("full", 650_000, 656_000),
            cell("a", 520_000, 656_000),
            cell("b", 520_000, 656_000),
        ]);
        expect(counts.get("full") ?? 0).toBe(0);
    });

    it("is none without workers while others have room", () => {
        const counts = firsts([cell("empty", 0, 0), cell("a", 520_000, 656_000), cell("b", 520_000, 656_000)]);
        expect(counts.get("empty") ?? 0).toBe(0);
    });
});
