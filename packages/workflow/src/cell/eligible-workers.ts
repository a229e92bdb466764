import type { WorkerHealth } from "@jayfront/policy";
import type { WorkerId } from "@jayfront/world";

import type { Step } from "../model/step.js";
import type { TaskName } from "../model/task-name.js";
import { chooseWorker } from "../policy/choose-worker.js";
import type { WorkerCandidate } from "../policy/worker-candidate.js";
import type { CellWorker } from "./cell-workers.js";
import { canRunStep } from "./cell-workers.js";
import type { UnansweredStarts } from "./unanswered-starts.js";

/** The workers on which tasks of one step may start during a pass, each described once until something starts there. */
export interface EligibleWorkers {
    /** The best worker for the task; undefined where it should wait. */
    readonly choose: (task: TaskName) => CellWorker | undefined;
    /** Something has taken room on the worker. */
    readonly refresh: (worker: CellWorker) => void;
}

/** Options of {@link createEligibleWorkers}. */
export interface EligibleWorkersOptions {
    readonly step: Step;
    /** Workers that take tasks of the step's service. */
    readonly workers: readonly CellWorker[];
    readonly health: Pick<WorkerHealth, "allowance">;
    readonly describe: (worker: CellWorker) => WorkerCandidate;
    /** Tasks of the step on the worker; asked only for a step that bounds them. */
    readonly countTasksOn: (worker: CellWorker) => number;
    readonly hasFailedOn: (task: TaskName, worker: CellWorker) => boolean;
    /** See `UnansweredStarts.placeOf`. */
    readonly constraintOf: UnansweredStarts["constraintOf"];
}

interface Place {
    readonly worker: CellWorker;
    readonly isTrusted: boolean;
    readonly description: WorkerCandidate;
}

/** Describes the workers that have room for a task of the step. */
export const createEligibleWorkers = (options: EligibleWorkersOptions): EligibleWorkers => {
    const { step, workers, health, describe, countTasksOn, hasFailedOn, constraintOf } = options;
    const places = new Map<WorkerId, Place>();
    const refresh = (worker: CellWorker): void => {
        const { id } = worker.session;
        const hasRoom = canRunStep(worker, step)
            && (step.perWorkerLimit === undefined || countTasksOn(worker) < step.perWorkerLimit);
        if (hasRoom) {
            places.set(id, { worker, isTrusted: health.allowance(id) > 0, description: describe(worker) });
        }
        else {
            places.delete(id);
        }
    };
    const placesFor = (task: TaskName): Place[] => {
        const bound = constraintOf(task);
        const all = [...places.values()];
        return bound === undefined ? all : all.filter(({ worker }) => worker.session.id === bound);
    };
    workers.forEach(refresh);
    return {
        choose: task => {
            const fitting = placesFor(task);
            const trusted = fitting.filter(place => place.isTrusted);
            // A task that lasts rather tries a worker in quarantine than stay away.
            const considered = trusted.length === 0 && step.isLasting ? fitting : trusted;
            const best = chooseWorker(
                step,
                considered.map(({ worker, description }) =>
                    hasFailedOn(task, worker) ? { ...description, hasFailedBefore: true } : description
                ),
            );
            return best === undefined ? undefined : places.get(best.id)?.worker;
        },
        refresh,
    };
};
