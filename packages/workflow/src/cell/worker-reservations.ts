import type { WorkerId } from "@jayfront/world";

import type { Step } from "../model/step.js";
import type { TaskName } from "../model/task-name.js";
import type { FillingWorker } from "../policy/soonest-room.js";
import { soonestRoom, timeUntilRoom } from "../policy/soonest-room.js";
import type { CellWorker, CellWorkers } from "./cell-workers.js";
import type { RunRegistry } from "./run-registry.js";
import type { Run } from "./run.js";

/** Holds workers back from other starts until a task that lasts has room there. */
export interface WorkerReservations {
    /** Lets go of workers whose tasks did not ask again in the last pass. */
    readonly beginPass: () => void;
    /** Holds one of `open` back for the task for the rest of the pass: the same one unless another has room sooner. */
    readonly reserve: (task: TaskName, step: Step, open: readonly CellWorker[]) => void;
    readonly isReserved: (worker: CellWorker) => boolean;
    /** Whether no more workers may be held back in this pass. */
    readonly isFull: () => boolean;
    /** Something has started on the worker since the pass began. */
    readonly recordStart: (worker: CellWorker) => void;
}

/** Options of {@link createWorkerReservations}. */
export interface WorkerReservationsOptions {
    readonly workers: CellWorkers;
    readonly runRegistry: RunRegistry;
    /** Milliseconds that the run is expected to take in all. */
    readonly runTimeOf: (run: Run) => number;
}

/** Share of the workers that may be held back at a time; one may be in any case. */
const heldShare = 0.1;

/** Milliseconds by which another worker must have room sooner before the one that is held is let go for it. */
const changeGain = 500;

/** Milliseconds until a run is expected to end; one that is overdue may take as long again as it is late. */
const remainingTime = (expected: number, elapsed: number): number => Math.abs(expected - elapsed);

/** Creates a holder that holds nothing back. */
export const createWorkerReservations = (
    { workers, runRegistry, runTimeOf }: WorkerReservationsOptions,
): WorkerReservations => {
    let before = new Map<TaskName, WorkerId>();
    let held = new Map<TaskName, WorkerId>();
    let heldWorkers = new Set<WorkerId>();
    /** Descriptions that hold until the pass ends or something starts on the worker. */
    const described = new Map<WorkerId, FillingWorker>();

    const describeAnew = ({ session, room }: CellWorker): FillingWorker => {
        const now = performance.now();
        const passing = [...runRegistry.ofWorker(session.id)].filter(run =>
            !run.step.isLasting || run.phase === "stopping"
        );
        return {
            id: session.id,
            freeCpu: room.freeCpu(),
            freeMemory: room.freeMemory(),
            freeAccelerators: room.freeAccelerators(),
            ends: passing.map(run => ({
                after: run.phase === "stopping" ? 0 : remainingTime(runTimeOf(run), now - run.startedAt),
                cpu: run.step.usesSpareCpu ? 0 : run.step.cpu,
                memory: run.step.memory,
                accelerators: run.step.accelerators,
            })).sort((left, right) => left.after - right.after),
        };
    };
    const describe = (worker: CellWorker): FillingWorker => {
        const { id } = worker.session;
        const known = described.get(id) ?? describeAnew(worker);
        described.set(id, known);
        return known;
    };
    const isReserved = (worker: CellWorker): boolean => heldWorkers.has(worker.session.id);
    const isFull = (): boolean => heldWorkers.size >= Math.max(1, Math.floor(workers.size * heldShare));
    return {
        beginPass: () => {
            before = held;
            held = new Map();
            heldWorkers = new Set();
            described.clear();
        },
        reserve: (task, step, open) => {
            if (isFull()) {
                return;
            }
            const able = open.filter(worker => !isReserved(worker)).map(describe);
            const soonest = soonestRoom(step, able);
            if (soonest === undefined) {
                return;
            }
            const known = able.find(worker => worker.id === before.get(task));
            const isKept = known !== undefined
                && timeUntilRoom(step, known) <= timeUntilRoom(step, soonest) + changeGain;
            const { id } = isKept ? known : soonest;
            held.set(task, id);
            heldWorkers.add(id);
        },
        isReserved,
        isFull,
        recordStart: worker => {
            described.delete(worker.session.id);
        },
    };
};
