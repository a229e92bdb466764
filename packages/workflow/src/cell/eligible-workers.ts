import type { WorkerHealth } from "@jayfront/policy";
import type { WorkerId } from "@jayfront/world";

import type { Step } from "../model/step.js";
import type { TaskName } from "../model/task-name.js";
import { chooseWorker } from "../policy/choose-worker.js";
import type { WorkerCandidate } from "../policy/worker-candidate.js";
import type { CellWorker } from "./cell-workers.js";
import { canRunStep } from "./cell-workers.js";
import type { UnansweredStarts } from "./unanswered-starts.js";

/** The workers on which tasks of one step may start in a pass; each is described anew only after a start on it. */
export interface EligibleWorkers {
    /** The best worker for the task; undefined if it should wait. */
    readonly choose: (task: TaskName) => CellWorker | undefined;
    /** Updates the worker's entry after something has started there. */
    readonly refresh: (worker: CellWorker) => void;
}

/** Options of {@link createEligibleWorkers}. */
export interface EligibleWorkersOptions {
    readonly step: Step;
    /** Workers that accept tasks of the step's service. */
    readonly workers: readonly CellWorker[];
    readonly health: Pick<WorkerHealth, "allowance">;
    /** Describes the worker for `chooseWorker`. */
    readonly describe: (worker: CellWorker) => WorkerCandidate;
    /** Number of tasks of the step on the worker; called only for a step with a limit per worker. */
    readonly countTasksOn: (worker: CellWorker) => number;
    /** Whether the task has failed on the worker before. */
    readonly hasFailedOn: (task: TaskName, worker: CellWorker) => boolean;
    /** See `UnansweredStarts.constraintOf`. */
    readonly constraintOf: UnansweredStarts["constraintOf"];
}

/** A worker with room for a task of the step. */
interface EligibleWorker {
    readonly worker: CellWorker;
    /** Whether the worker's health allows another start. */
    readonly isTrusted: boolean;
    readonly description: WorkerCandidate;
}

/** Collects the workers that have room for a task of the step. */
export const createEligibleWorkers = (options: EligibleWorkersOptions): EligibleWorkers => {
    const { step, workers, health, describe, countTasksOn, hasFailedOn, constraintOf } = options;
    const eligible = new Map<WorkerId, EligibleWorker>();
    const refresh = (worker: CellWorker): void => {
        const { id } = worker.session;
        const hasRoom = canRunStep(worker, step)
            && (step.perWorkerLimit === undefined || countTasksOn(worker) < step.perWorkerLimit);
        if (hasRoom) {
            eligible.set(id, { worker, isTrusted: health.allowance(id) > 0, description: describe(worker) });
        }
        else {
            eligible.delete(id);
        }
    };
    const eligibleFor = (task: TaskName): EligibleWorker[] => {
        const constraint = constraintOf(task);
        const all = [...eligible.values()];
        return constraint === undefined ? all : all.filter(({ worker }) => worker.session.id === constraint);
    };
    workers.forEach(refresh);
    return {
        choose: task => {
            const fitting = eligibleFor(task);
            const trusted = fitting.filter(candidate => candidate.isTrusted);
            // For a long-running task, a worker in quarantine is better than no run at all.
            const considered = trusted.length === 0 && step.isLasting ? fitting : trusted;
            const best = chooseWorker(
                step,
                considered.map(({ worker, description }) =>
                    hasFailedOn(task, worker) ? { ...description, hasFailedBefore: true } : description
                ),
            );
            return best === undefined ? undefined : eligible.get(best.id)?.worker;
        },
        refresh,
    };
};
