import type { Result } from "true-myth";

import type { RunOutcome } from "../model/run-outcome.js";
import type { TaskName } from "../model/task-name.js";
import type { WorkerEntry } from "../model/worker-entry.js";

/** Why a worker did not carry out an order. After `unknown` it may have done so, or may still do so seconds later. */
export interface OrderError {
    readonly kind:
        | "fenced" // the worker has seen a higher token
        | "superseded" // this run or a later one of the task has been stopped or has ended on the worker
        | "late" // the order's deadline has passed on the worker's clock
        | "no-room"
        | "no-ticket"
        | "reborn" // another incarnation of the worker than the expected one answered at the address
        | "unhealthy" // the worker refuses orders for now; nothing was done
        | "invalid"
        | "closed" // the connection was refused: nothing listens at the worker's address, or the worker is cut off
        | "not-sent"
        | "unknown";
    readonly message: string;
}

/** Tells a worker to run a task. */
export interface StartOrder {
    readonly task: TaskName;
    readonly run: number;
    readonly payload: string;
    /** Fencing token: workers refuse orders with a lower token than the highest that they have seen. */
    readonly token: number;
    /** Time on the worker's clock, in ms, until which all its runs may go on. */
    readonly deadline: number;
    readonly checkpoint: string;
    /** Ticket by which the advisory service of the queue approves the worker; absent if the queue needs none. */
    readonly ticket?: string;
}

/** Tells a worker to stop a run. */
export interface StopOrder {
    readonly task: TaskName;
    readonly run: number;
    readonly token: number;
}

/** Asks a worker which runs are going on and which have ended. */
export interface PollOrder {
    readonly token: number;
    /** Number of the last ended run that the store has recorded; the worker drops its reports up to it. 0 for none. */
    readonly recordedEnd: number;
    /** Extends the lease to this time on the worker's clock, in ms. */
    readonly deadline?: number;
    /** Milliseconds for which the worker may delay its answer until a run ends. */
    readonly wait?: number;
}

/** A run that is going on, as a worker reports it. */
export interface ReportedRun {
    readonly task: TaskName;
    readonly run: number;
    readonly checkpoint: string;
    /** Percentage of the task's work that is done; for a long-running task, 100 once it serves. */
    readonly percent: number;
    /** Over the last half second: tail latency in ms of a serving task, else millicores in use. */
    readonly measure: number;
}

/** A run that has ended, as a worker reports it. */
export interface ReportedEnd {
    /** Increases with each ended run within one incarnation of the worker. */
    readonly number: number;
    readonly task: TaskName;
    readonly run: number;
    readonly outcome: RunOutcome;
    readonly checkpoint: string;
}

/** Answer to a poll. */
export interface WorkerReport {
    /** Time on the worker's own monotonic clock, in ms. */
    readonly clock: number;
    /** Unix time of the worker's start, in ms. */
    readonly bornAt: number;
    readonly running: readonly ReportedRun[];
    /** Ends that have not been acknowledged, by number; a report lists only so many of them. */
    readonly ended: readonly ReportedEnd[];
    /** Whether `ended` has all ends that have not been acknowledged; else a run in neither list may have ended. */
    readonly hasAllEnds: boolean;
}

/** Sends orders to workers. Its promises never reject: what can't be sent is an error `not-sent`. */
export interface WorkerGateway {
    /** Starts a run; resolves to the worker's clock in ms. Idempotent: a repeated start runs the task once. */
    readonly start: (worker: WorkerEntry, order: StartOrder) => Promise<Result<number, OrderError>>;
    /** Stops a run; resolves to the worker's clock in ms. */
    readonly stop: (worker: WorkerEntry, order: StopOrder) => Promise<Result<number, OrderError>>;
    /** Reads the runs of a worker, and extends its lease if the order has a deadline. */
    readonly poll: (worker: WorkerEntry, order: PollOrder) => Promise<Result<WorkerReport, OrderError>>;
    /** Limits a run to `percent` of its speed; resolves to the worker's clock in ms. */
    readonly throttle: (
        worker: WorkerEntry,
        order: StopOrder & { readonly percent: number; },
    ) => Promise<Result<number, OrderError>>;
    /** Closes the connections to a worker that is no longer used. */
    readonly disconnect: (worker: WorkerEntry) => void;
}
