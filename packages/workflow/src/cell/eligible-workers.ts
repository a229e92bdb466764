import type { WorkerHealth } from "@jayfront/policy";
import type { WorkerId } from "@jayfront/world";

import type { Step } from "../model/step.js";
import type { TaskName } from "../model/task-name.js";
import { chooseWorker } from "../policy/choose-worker.js";
import { leastHarmfulWorker } from "../policy/least-harmful-worker.js";
import type { WorkerCandidate } from "../policy/worker-candidate.js";
import type { CellWorker } from "./cell-workers.js";
import { canRunStep } from "./cell-workers.js";
import type { UnansweredStarts } from "./unanswered-starts.js";

/**
 * Numbers of workers with room by what keeps a task from starting there. A worker counts only for the first filter that
 * excludes it, in the order of these properties.
 */
export interface WorkerExclusions {
    /** Too slow for the task; see `slowWorkerUse`. */
    readonly slow: number;
    /** In a failure domain that is filled by degrees; see `DomainRamp`. */
    readonly filling: number;
    /** Run as many tasks of the step as `Step.perWorkerLimit` allows. */
    readonly atLimit: number;
    /** An unanswered start of the task may still be carried out elsewhere; see `UnansweredStarts.constraintOf`. */
    readonly unansweredStart: number;
    /** Their health allows no start, and the task doesn't start without that. */
    readonly untrusted: number;
    /** The task would interfere with serving tasks, or too little of the processor time that it uses is idle. */
    readonly interference: number;
    /** No filter excludes them. */
    readonly none: number;
}

/** The workers on which tasks of one step may start in a pass; each is described anew only after a start on it. */
export interface EligibleWorkers {
    /** The best worker for the task; undefined if it should wait. */
    readonly choose: (task: TaskName) => CellWorker | undefined;
    /** As `choose`, but a spare-CPU task gets a worker though it may interfere with serving tasks there. */
    readonly chooseAlways: (task: TaskName) => CellWorker | undefined;
    /** Updates the worker's entry after something has started there. */
    readonly refresh: (worker: CellWorker) => void;
    /** Counts the workers with room by what keeps the task from starting there. */
    readonly countExclusions: (task: TaskName) => WorkerExclusions;
}

/** Why a worker with room gets no task of the step for now; undefined where it may get one. */
export type WorkerExclusion = "slow" | "filling" | undefined;

/** Options of {@link createEligibleWorkers}. */
export interface EligibleWorkersOptions {
    readonly step: Step;
    /** Workers that accept tasks of the step's service. */
    readonly workers: readonly CellWorker[];
    readonly health: Pick<WorkerHealth, "allowance">;
    readonly exclusionOf: (worker: CellWorker) => WorkerExclusion;
    /** See `chooseWorker`; called only once a worker is not of normal speed. */
    readonly shouldBeFast: () => boolean;
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
    const { step, workers, health, exclusionOf, shouldBeFast, describe, countTasksOn, hasFailedOn, constraintOf } =
        options;
    const eligible = new Map<WorkerId, EligibleWorker>();
    /** Result of the option, once a worker has been described that is not of normal speed. */
    let isFastPreferred: boolean | undefined;
    const describeAgain = (worker: CellWorker): void => {
        const { id } = worker.session;
        const hasRoom = canRunStep(worker, step)
            && exclusionOf(worker) === undefined
            && (step.perWorkerLimit === undefined || countTasksOn(worker) < step.perWorkerLimit);
        if (hasRoom) {
            const description = describe(worker);
            if (description.speed < 1) {
                isFastPreferred ??= shouldBeFast();
            }
            eligible.set(id, { worker, isTrusted: health.allowance(id) > 0, description });
        }
        else {
            eligible.delete(id);
        }
    };
    const refresh = (worker: CellWorker): void => {
        describeAgain(worker);
        if (exclusionOf(worker) === "filling") {
            // The same holds for the other workers of the failure domain.
            [...eligible].filter(([, other]) => exclusionOf(other.worker) === "filling").forEach(([id]) => {
                eligible.delete(id);
            });
        }
    };
    const eligibleFor = (task: TaskName): readonly EligibleWorker[] => {
        const constraint = constraintOf(task);
        if (constraint === undefined) {
            return [...eligible.values()];
        }
        const only = constraint === "nowhere" ? undefined : eligible.get(constraint);
        return only === undefined ? [] : [only];
    };
    /** The workers that the task may start on as far as their health is concerned. */
    const selectByHealth = (fitting: readonly EligibleWorker[]): readonly EligibleWorker[] => {
        if (fitting.every(candidate => candidate.isTrusted)) {
            return fitting;
        }
        const trusted = fitting.filter(candidate => candidate.isTrusted);
        // For a long-running task, a worker in quarantine is better than no run at all.
        return trusted.length === 0 && step.isLasting ? fitting : trusted;
    };
    const describeFor = (task: TaskName): readonly WorkerCandidate[] =>
        selectByHealth(eligibleFor(task)).map(({ worker, description }) =>
            hasFailedOn(task, worker) ? { ...description, hasFailedBefore: true } : description
        );
    const workerOf = (candidate: WorkerCandidate | undefined): CellWorker | undefined =>
        candidate === undefined ? undefined : eligible.get(candidate.id)?.worker;
    workers.forEach(describeAgain);
    return {
        choose: task => workerOf(chooseWorker(step, describeFor(task), isFastPreferred)),
        chooseAlways: task => {
            const candidates = describeFor(task);
            return workerOf(chooseWorker(step, candidates, isFastPreferred) ?? leastHarmfulWorker(candidates));
        },
        refresh,
        countExclusions: task => {
            const withRoom = workers.filter(worker => canRunStep(worker, step));
            const exclusions = withRoom.map(exclusionOf);
            const slow = exclusions.filter(exclusion => exclusion === "slow").length;
            const filling = exclusions.filter(exclusion => exclusion === "filling").length;
            const fitting = eligibleFor(task);
            const considered = selectByHealth(fitting);
            const suitable = considered.filter(({ description }) => chooseWorker(step, [description]) !== undefined);
            return {
                slow,
                filling,
                atLimit: withRoom.length - slow - filling - eligible.size,
                unansweredStart: eligible.size - fitting.length,
                untrusted: fitting.length - considered.length,
                interference: considered.length - suitable.length,
                none: suitable.length,
            };
        },
    };
};
