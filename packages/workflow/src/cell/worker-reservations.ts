import type { WorkerId } from "@jayfront/world";

import type { Step } from "../model/step.js";
import type { TaskName } from "../model/task-name.js";
import type { ReservableWorker } from "../policy/soonest-fit.js";
import { soonestFit, timeUntilFit } from "../policy/soonest-fit.js";
import type { CellWorker, CellWorkers } from "./cell-workers.js";
import type { RunRegistry } from "./run-registry.js";
import type { Run } from "./run.js";

/** Reserves workers for waiting long-running tasks: nothing else starts there until the task fits. */
export interface WorkerReservations {
    /**
     * Starts a new pass. The reservations are kept if it continues a round (see `PassRounds`); otherwise all are given
     * up, and those of the last round are preferred when they are made again.
     */
    readonly beginPass: (isContinued?: boolean) => void;
    /** Reserves one of `candidates` for the rest of the round: that of the last one, unless another has room sooner. */
    readonly reserve: (task: TaskName, step: Step, candidates: readonly CellWorker[]) => void;
    /** Gives up the task's reservation, so that it can start on any worker or reserve one anew. */
    readonly release: (task: TaskName) => void;
    /** Whether the worker has been reserved in this round. */
    readonly isReserved: (worker: CellWorker) => boolean;
    /** The step of the task for which the worker has been reserved in this round. */
    readonly reservedFor: (worker: WorkerId) => Step | undefined;
    /** Whether no more workers may be reserved in this round. */
    readonly isFull: () => boolean;
    /** Has to be called after each start in the pass, since it changes when the worker has room. */
    readonly recordStart: (worker: CellWorker) => void;
}

/** Options of {@link createWorkerReservations}. */
export interface WorkerReservationsOptions {
    readonly workers: CellWorkers;
    readonly runRegistry: RunRegistry;
    /** Expected run time in milliseconds, from start to end. */
    readonly runTimeOf: (run: Run) => number;
}

/** Share of the workers that may be reserved at a time; at least one may always be. */
const maxReservedShare = 0.1;

/** Milliseconds by which another worker must have room sooner for a reservation to move to it. */
const minSwitchGain = 500;

/** Milliseconds until a run is expected to end; one that is overdue may take as long again as it is late. */
const remainingTime = (expected: number, elapsed: number): number => Math.abs(expected - elapsed);

/** Creates an empty set of reservations. */
export const createWorkerReservations = (
    { workers, runRegistry, runTimeOf }: WorkerReservationsOptions,
): WorkerReservations => {
    /** Reservations of the last round, and of this one as far as they were released since. */
    let previous = new Map<TaskName, WorkerId>();
    let reserved = new Map<TaskName, WorkerId>();
    let reservedWorkers = new Map<WorkerId, Step>();
    /** Descriptions that hold until the pass ends or something starts on the worker. */
    const described = new Map<WorkerId, ReservableWorker>();

    const describeAnew = ({ session, resources }: CellWorker): ReservableWorker => {
        const now = performance.now();
        const endingRuns = [...runRegistry.ofWorker(session.id)].filter(run =>
            !run.step.isLasting || run.phase === "stopping"
        );
        return {
            id: session.id,
            freeCpu: resources.freeCpu(),
            freeMemory: resources.freeMemory(),
            freeAccelerators: resources.freeAccelerators(),
            expectedReleases: endingRuns.map(run => ({
                after: run.phase === "stopping" ? 0 : remainingTime(runTimeOf(run), now - run.startedAt),
                cpu: run.step.usesSpareCpu ? 0 : run.step.cpu,
                memory: run.step.memory,
                accelerators: run.step.accelerators,
            })).sort((left, right) => left.after - right.after),
        };
    };
    const describe = (worker: CellWorker): ReservableWorker => {
        const { id } = worker.session;
        const description = described.get(id) ?? describeAnew(worker);
        described.set(id, description);
        return description;
    };
    const isReserved = (worker: CellWorker): boolean => reservedWorkers.has(worker.session.id);
    const isFull = (): boolean => reservedWorkers.size >= Math.max(1, Math.floor(workers.size * maxReservedShare));
    return {
        beginPass: (isContinued = false) => {
            described.clear();
            if (!isContinued) {
                previous = reserved;
                reserved = new Map();
                reservedWorkers = new Map();
            }
        },
        reserve: (task, step, candidates) => {
            if (isFull()) {
                return;
            }
            const available = candidates.filter(worker => !isReserved(worker)).map(describe);
            const soonest = soonestFit(step, available);
            if (soonest === undefined) {
                return;
            }
            const previousWorker = available.find(worker => worker.id === previous.get(task));
            const isKept = previousWorker !== undefined
                && timeUntilFit(step, previousWorker) <= timeUntilFit(step, soonest) + minSwitchGain;
            const { id } = isKept ? previousWorker : soonest;
            reserved.set(task, id);
            reservedWorkers.set(id, step);
        },
        release: task => {
            const id = reserved.get(task);
            if (id !== undefined) {
                previous.set(task, id);
                reserved.delete(task);
                reservedWorkers.delete(id);
            }
        },
        isReserved,
        reservedFor: worker => reservedWorkers.get(worker),
        isFull,
        recordStart: worker => {
            described.delete(worker.session.id);
        },
    };
};
