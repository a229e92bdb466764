import { createWorkerHealth } from "@jayfront/policy";
import type { FailureDomainId, JobId, WorkerId } from "@jayfront/world";
import pino from "pino";

import type { CellWorker, CellWorkers } from "../src/cell/cell-workers.js";
import { createRun } from "../src/cell/create-run.js";
import type { NeighbourWatch } from "../src/cell/neighbour-watch.js";
import { createNeighbourWatch } from "../src/cell/neighbour-watch.js";
import { createRoomAccount } from "../src/cell/room-account.js";
import type { RunBook } from "../src/cell/run-book.js";
import { createRunBook } from "../src/cell/run-book.js";
import type { RunKeeper } from "../src/cell/run-keeper.js";
import type { Run } from "../src/cell/run.js";
import type { StageScheduler } from "../src/cell/stage-scheduler.js";
import { createStageScheduler } from "../src/cell/stage-scheduler.js";
import type { WorkerSession } from "../src/cell/worker-session.js";
import type { WorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import type { Queue } from "../src/model/queue.js";
import type { Step } from "../src/model/step.js";
import { taskName } from "../src/model/task-name.js";
import { createPressureModel } from "../src/policy/pressure-model.js";
import { testQueue } from "./test-queue.js";

/** A cell's scheduler with its workers and runs, without anything that talks to them. */
export interface TestCell {
    readonly scheduler: StageScheduler;
    readonly book: RunBook;
    /**
     * Times that workers were surveyed, asked for their deadlines, and that pressures between images and the run times of
     * tasks were looked up.
     */
    readonly counts: { surveys: number; deadlines: number; pressures: number; runTimes: number; };
    readonly submit: (queue: Partial<Queue>, steps: readonly Partial<Step>[]) => WorkflowLedger;
    /** Ends a run; its task is done, or waits again. */
    readonly end: (run: Run, outcome: "done" | "lost") => void;
    /** Removes a worker. */
    readonly close: (worker: WorkerId) => void;
}

/** Options of {@link createTestCell}. */
export interface TestCellOptions {
    readonly workers: number;
    /** Thousandths of cores of each worker. */
    readonly cpu: number;
    /** Milliseconds that tasks are expected to run. */
    readonly runTime: number;
}

const openSession = (id: WorkerId, cpu: number, deadline: () => number): WorkerSession => {
    const entry = {
        id,
        address: `${id}:1`,
        service: testQueue.service,
        failureDomain: "east-a" as FailureDomainId,
        rack: "r-1",
        labels: [],
        capacity: { cpu, memory: 64_000, accelerators: 0 },
        isDraining: false,
        bornAt: 0,
    };
    const session: Partial<WorkerSession> = { id, entry: () => entry, contact: () => "known", deadline };
    return session as WorkerSession;
};
const createWorker = (id: WorkerId, cpu: number, deadline: () => number): CellWorker => ({
    session: openSession(id, cpu, deadline),
    room: createRoomAccount({ cpu, memory: 64_000, accelerators: 0 }),
    isOnRoster: true,
    unlistedSince: undefined,
    drainingSince: undefined,
    stop: () => undefined,
});

/** Creates a cell in which starts succeed at once. */
export const createTestCell = ({ workers: count, cpu, runTime }: TestCellOptions): TestCell => {
    const logger = pino({ level: "silent" });
    const ids = [...Array(count).keys()].map(number => `w-${String(number)}` as WorkerId);
    const counts = { surveys: 0, deadlines: 0, pressures: 0, runTimes: 0 };
    const deadline = (): number => {
        counts.deadlines += 1;
        return 1;
    };
    const workers: CellWorkers = new Map(ids.map(id => [id, createWorker(id, cpu, deadline)]));
    const book = createRunBook();
    const ledgers: WorkflowLedger[] = [];
    const model = createPressureModel();
    const pressure: typeof model.pressure = (serving, spare) => {
        counts.pressures += 1;
        return model.pressure(serving, spare);
    };
    const watch = createNeighbourWatch({ model: { ...model, pressure }, throttle: () => undefined, logger });
    const neighbours: NeighbourWatch = {
        ...watch,
        survey: (worker, runs) => {
            counts.surveys += 1;
            return watch.survey(worker, runs);
        },
    };
    const start: RunKeeper["start"] = (ledger, { occurrence, number, step }, index, session) => {
        const position = { job: ledger.workflow.id, occurrence, step: number, index };
        const origin = { task: taskName(position), position, number: 1, worker: session.id, ledger, step };
        const run = createRun({ ...origin, checkpoint: "" });
        run.phase = "running";
        book.add(run);
        ledger.noteStart(position);
        workers.get(session.id)?.room.add(step);
    };
    const keeper: Partial<RunKeeper> = { start, nextNumber: () => 1 };
    const scheduler = createStageScheduler({
        ledgers: () => ledgers,
        workers,
        book,
        keeper: keeper as RunKeeper,
        runTime: () => {
            counts.runTimes += 1;
            return runTime;
        },
        health: createWorkerHealth({ startLimit: 1_000 }),
        logger,
        queueOf: ledger => ledger.workflow.queue,
        isHeldBack: () => false,
        hasFailedOn: () => false,
        placeOf: () => undefined,
        neighbours,
    });
    return {
        scheduler,
        book,
        counts,
        submit: (queue, steps) => {
            const ledger = createWorkflowLedger({
                id: ledgers.length.toString(16).padStart(16, "0") as JobId,
                queue: { ...testQueue, ...queue },
                payload: "",
                steps: steps.map(createStep),
                acceptedAt: Date.now(),
            });
            ledgers.push(ledger);
            return ledger;
        },
        end: (run, outcome) => {
            book.remove(run);
            workers.get(run.worker)?.room.remove(run.step);
            if (outcome === "done") {
                run.ledger.noteDone(run.position);
                run.ledger.noteWritten(run.ledger.revision());
            }
            else {
                run.ledger.noteIdle(run.position);
            }
        },
        close: worker => {
            workers.delete(worker);
        },
    };
};
