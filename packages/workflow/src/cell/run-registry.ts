import type { JobId, WorkerId } from "@jayfront/world";

import type { TaskName } from "../model/task-name.js";
import type { Run } from "./run.js";

/** All runs of a cell, indexed by task, worker and workflow. */
export interface RunRegistry {
    readonly add: (run: Run) => void;
    readonly remove: (run: Run) => void;
    readonly ofTask: (task: TaskName) => readonly Run[];
    /** Runs on a worker: a live set, to be copied before runs are added or removed. */
    readonly ofWorker: (worker: WorkerId) => ReadonlySet<Run>;
    readonly ofWorkflow: (job: JobId) => readonly Run[];
    /** The run of a task on a worker by its run number. */
    readonly find: (worker: WorkerId, task: TaskName, number: number) => Run | undefined;
    /** All runs: a live set, as that of `ofWorker`. */
    readonly all: () => Iterable<Run>;
    readonly size: () => number;
}

const noRuns: ReadonlySet<Run> = new Set();

const addTo = <Key>(index: Map<Key, Set<Run>>, key: Key, run: Run): void => {
    const runs = index.get(key) ?? new Set();
    runs.add(run);
    index.set(key, runs);
};
const removeFrom = <Key>(index: Map<Key, Set<Run>>, key: Key, run: Run): void => {
    const runs = index.get(key);
    runs?.delete(run);
    if (runs?.size === 0) {
        index.delete(key);
    }
};

/** Creates an empty registry. */
export const createRunRegistry = (): RunRegistry => {
    const all = new Set<Run>();
    const byTask = new Map<TaskName, Set<Run>>();
    const byWorker = new Map<WorkerId, Set<Run>>();
    const byWorkflow = new Map<JobId, Set<Run>>();
    return {
        add: run => {
            all.add(run);
            addTo(byTask, run.task, run);
            addTo(byWorker, run.worker, run);
            addTo(byWorkflow, run.position.job, run);
        },
        remove: run => {
            all.delete(run);
            removeFrom(byTask, run.task, run);
            removeFrom(byWorker, run.worker, run);
            removeFrom(byWorkflow, run.position.job, run);
        },
        ofTask: task => [...byTask.get(task) ?? noRuns],
        ofWorker: worker => byWorker.get(worker) ?? noRuns,
        ofWorkflow: job => [...byWorkflow.get(job) ?? noRuns],
        find: (worker, task, number) =>
            [...byTask.get(task) ?? noRuns].find(run => run.worker === worker && run.number === number),
        all: () => all,
        size: () => all.size,
    };
};
