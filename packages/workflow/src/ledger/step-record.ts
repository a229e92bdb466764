/** What is known of the tasks of one step in one occurrence. */
export interface StepRecord {
    readonly done: Set<number>;
    /** Numbers of the runs that ended `failed`, by index; an end that is reported again counts once. */
    readonly failures: Map<number, Set<number>>;
    /** Newest checkpoint by index. */
    readonly checkpoints: Map<number, string>;
    /** Tasks that have neither a run nor an end. */
    readonly waiting: Set<number>;
    /** Indices of tasks that have run under this holder. */
    readonly started: Set<number>;
    /** Time at which the step's tasks could first start, in ms of the steady clock; undefined before. */
    readySince: number | undefined;
    /** Time at which it was last logged why the step's tasks wait, in ms of the steady clock. */
    waitLoggedAt: number;
}

/** Creates the record of a step of `count` tasks, none of which has run. */
export const createStepRecord = (count: number): StepRecord => ({
    done: new Set(),
    failures: new Map(),
    checkpoints: new Map(),
    waiting: new Set(Array(count).keys()),
    started: new Set(),
    readySince: undefined,
    waitLoggedAt: -Infinity,
});
