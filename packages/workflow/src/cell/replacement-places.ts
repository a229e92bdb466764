import type { WorkerId } from "@jayfront/world";

import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { Step } from "../model/step.js";
import type { TaskName, TaskNameParts } from "../model/task-name.js";
import type { CellWorker } from "./cell-workers.js";

/** Room that is kept on a worker for a task that leaves its own worker. */
export interface ReplacementPlace {
    readonly task: TaskName;
    readonly position: TaskNameParts;
    readonly ledger: WorkflowLedger;
    readonly step: Step;
    readonly worker: CellWorker;
}

/**
 * Places for long-running tasks of draining workers, and for halted tasks. A task is stopped only once it has a place, which
 * counts as used until the task starts there.
 */
export interface ReplacementPlaces {
    /** Takes the resources of the place from its worker. */
    readonly keep: (place: ReplacementPlace) => void;
    readonly has: (task: TaskName) => boolean;
    /** Whether any task of the same step as `position` has a place. */
    readonly hasOfStep: (position: Omit<TaskNameParts, "index">) => boolean;
    /** Gives back the resources of the task's place; returns its worker, or undefined if the task has no place. */
    readonly release: (task: TaskName) => CellWorker | undefined;
    /** Releases the places for which `isNeeded` returns false. */
    readonly releaseUnneeded: (isNeeded: (place: ReplacementPlace) => boolean) => void;
    /** Steps of the tasks that have a place on the worker, once for each. */
    readonly stepsOn: (worker: WorkerId) => readonly Step[];
    /** Number of places on the worker for tasks of the same step as `position`. */
    readonly countOn: (worker: WorkerId, position: Omit<TaskNameParts, "index">) => number;
}

const isSameStep = (
    { position }: ReplacementPlace,
    { job, occurrence, step }: Omit<TaskNameParts, "index">,
): boolean => position.job === job && position.occurrence === occurrence && position.step === step;

/** Creates an empty set of places. */
export const createReplacementPlaces = (): ReplacementPlaces => {
    const places = new Map<TaskName, ReplacementPlace>();
    const release = (task: TaskName): CellWorker | undefined => {
        const place = places.get(task);
        places.delete(task);
        place?.worker.resources.remove(place.step);
        return place?.worker;
    };
    return {
        keep: place => {
            release(place.task);
            places.set(place.task, place);
            place.worker.resources.add(place.step);
        },
        has: task => places.has(task),
        hasOfStep: position => [...places.values()].some(place => isSameStep(place, position)),
        release,
        releaseUnneeded: isNeeded => {
            for (const place of [...places.values()]) {
                if (!isNeeded(place)) {
                    release(place.task);
                }
            }
        },
        stepsOn: worker =>
            [...places.values()].filter(({ worker: { session } }) => session.id === worker).map(({ step }) => step),
        countOn: (worker, position) => {
            let count = 0;
            for (const place of places.values()) {
                count += place.worker.session.id === worker && isSameStep(place, position) ? 1 : 0;
            }
            return count;
        },
    };
};
