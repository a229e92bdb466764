/** State of the tasks of one step in one occurrence. */
export interface StepRecord {
    /** Indices of the tasks that are done. */
    readonly done: Set<number>;
    /** Number of ranges of consecutive indices in `done`. */
    doneRanges: number;
    /** Numbers of the runs that ended `failed`, by task index; a set, so that a repeated report counts once. */
    readonly failures: Map<number, Set<number>>;
    /** Bytes that `failures` and `crashes` take in a progress row. */
    failureBytes: number;
    /** Weights of the runs under which a worker crashed, by run number and task index; see `crashWeights`. */
    readonly crashes: Map<number, Map<number, number>>;
    /** Newest checkpoint by task index. */
    readonly checkpoints: Map<number, string>;
    /** Indices of tasks that have neither a run nor an end, and that no other cell runs. */
    readonly waiting: Set<number>;
    /** Indices of long-running tasks that another cell runs. */
    readonly transferred: Set<number>;
    /** Numbers of the last runs of tasks that other cells have given back, by task index, as of their return. */
    readonly lastRuns: Map<number, number>;
    /** Indices of tasks that have run under the present holder of the workflow, or may have under an earlier one. */
    readonly started: Set<number>;
    /** Times at which the last runs of waiting tasks ended under the present holder, by task index, in monotonic ms. */
    readonly lastEnds: Map<number, number>;
    /**
     * Revision of the ledger with the last failure or crash of a task, by the index under which these are counted; the
     * task may run again once that revision is stored.
     */
    readonly failedAtRevisions: Map<number, number>;
    /** Revision of the ledger with which the last task was done; 0 where that was read from the store. */
    doneAtRevision: number;
    /** Time at which the step's tasks could first start, in ms of the monotonic clock; undefined before. */
    readySince: number | undefined;
    /** Time since which the step's waiting tasks have found no room, in ms of the monotonic clock. */
    noRoomSince: number | undefined;
}

/** Creates the record of a step of `count` tasks, none of which has run. */
export const createStepRecord = (count: number): StepRecord => ({
    done: new Set(),
    doneRanges: 0,
    failures: new Map(),
    failureBytes: 0,
    crashes: new Map(),
    checkpoints: new Map(),
    waiting: new Set(Array(count).keys()),
    transferred: new Set(),
    lastRuns: new Map(),
    started: new Set(),
    lastEnds: new Map(),
    failedAtRevisions: new Map(),
    doneAtRevision: 0,
    readySince: undefined,
    noRoomSince: undefined,
});
