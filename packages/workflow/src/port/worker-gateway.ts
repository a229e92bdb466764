import type { Result } from "true-myth";

import type { RunOutcome } from "../model/run-outcome.js";
import type { TaskName } from "../model/task-name.js";
import type { WorkerEntry } from "../model/worker-entry.js";

/** Why a worker did not do what it was told. After `unknown` it may have, or may still do so seconds later. */
export interface OrderError {
    readonly kind:
        | "fenced" // a higher token has been seen
        | "superseded" // this or a later run of the task was stopped or ended there
        | "late" // the order's deadline has passed there
        | "no-room"
        | "no-ticket"
        | "reborn" // another life of the worker answered
        | "unhealthy" // nothing was done
        | "invalid"
        | "closed" // nobody listens at the worker's address
        | "not-sent"
        | "unknown";
    readonly message: string;
}

/** Tells a worker to run a task. */
export interface StartOrder {
    readonly task: TaskName;
    readonly run: number;
    readonly payload: string;
    /** Workers do nothing for a lower token than the highest that they have seen. */
    readonly token: number;
    /** Milliseconds on the worker's clock until which all that it runs may go on. */
    readonly deadline: number;
    readonly checkpoint: string;
    readonly ticket?: string;
}

/** Tells a worker to stop a run. */
export interface StopOrder {
    readonly task: TaskName;
    readonly run: number;
    readonly token: number;
}

/** Asks what a worker runs and what has ended there. */
export interface PollOrder {
    readonly token: number;
    /** Number of the last end that is recorded; the worker forgets ends up to it. 0 for none. */
    readonly recordedEnd: number;
    /** Extends the lease to this time on the worker's clock. */
    readonly deadline?: number;
    /** Milliseconds that the worker may wait for an end. */
    readonly wait?: number;
}

/** A run as a worker reports it. */
export interface ReportedRun {
    readonly task: TaskName;
    readonly run: number;
    readonly checkpoint: string;
    /** Share of a task's work that is done; of a lasting task, 100 once it serves. */
    readonly percent: number;
    /** Tail in ms of a serving task, else thousandths of cores in use; over the last half second. */
    readonly measure: number;
}

/** An end as a worker reports it. */
export interface ReportedEnd {
    /** Rises within one life of the worker. */
    readonly number: number;
    readonly task: TaskName;
    readonly run: number;
    readonly outcome: RunOutcome;
    readonly checkpoint: string;
}

/** Answer to a look. */
export interface WorkerReport {
    /** Milliseconds on the worker's own steady clock. */
    readonly clock: number;
    readonly bornAt: number;
    readonly running: readonly ReportedRun[];
    readonly ended: readonly ReportedEnd[];
}

/** Gives orders to workers. */
export interface WorkerGateway {
    /** Answers the worker's clock. A start that is repeated is done once. */
    readonly start: (worker: WorkerEntry, order: StartOrder) => Promise<Result<number, OrderError>>;
    readonly stop: (worker: WorkerEntry, order: StopOrder) => Promise<Result<number, OrderError>>;
    readonly poll: (worker: WorkerEntry, order: PollOrder) => Promise<Result<WorkerReport, OrderError>>;
    /** Lets a run work at `percent` of its speed. */
    readonly throttle: (
        worker: WorkerEntry,
        order: StopOrder & { readonly percent: number; },
    ) => Promise<Result<number, OrderError>>;
    /** Closes connections to workers that are no longer used. */
    readonly disconnect: (worker: WorkerEntry) => void;
}
