import type {
    CheckpointId,
    EndedTask,
    Fence,
    Inventory,
    RunningTask,
    TaskId,
    TaskStart,
    UsageReport,
    Worker,
} from "@jayfront/world";
import type { Result } from "true-myth";

import type { PlatformError } from "./platform-error.js";

/** Identifies one attempt of a task. */
export interface TaskAttempt {
    readonly task: TaskId;
    readonly attempt: number;
}

/** Acquires a worker's lease, or extends it for its current holder. */
export interface Adoption {
    readonly fence: Fence;
    /** Host and incarnation. Within an epoch, only this holder may adopt the worker again before the lease expires. */
    readonly holder: string;
    /** Milliseconds without a renewal after which the lease expires. */
    readonly lease: number;
    /** Milliseconds without a renewal after which the worker stops its tasks. */
    readonly taskLease: number;
}

/** Renews a worker's lease and acknowledges ended attempts, which the worker then deletes. */
export interface Renewal {
    readonly fence: Fence;
    readonly acknowledged: readonly TaskAttempt[];
    /** Requests the ended attempts with a higher sequence number; the others have been received before. */
    readonly endedAfter: number;
    /** Requests the usage reports from this sequence number on. */
    readonly reportsFrom: number;
}

/** A worker's response to a renewal. */
export interface WorkerStatus {
    readonly running: readonly RunningTask[];
    /** Ended attempts after `endedAfter` of the renewal that have not been acknowledged. */
    readonly ended: readonly EndedTask[];
    /** Requests in flight that were admitted under earlier fences. */
    readonly foreignRequests: number;
    readonly reports: readonly UsageReport[];
    readonly state: "live" | "leaving";
}

/** Result of starting one task: undefined if the task runs, otherwise the code of the refusal. */
export type StartAnswer = string | undefined;

/** The workers' task interface. Commands except `adopt` are refused with `stale-fence` if `fence` is not current. */
export interface WorkerInterface {
    readonly adopt: (worker: Worker, adoption: Adoption) => Promise<Result<Inventory, PlatformError>>;
    readonly renew: (worker: Worker, renewal: Renewal) => Promise<Result<WorkerStatus, PlatformError>>;
    /** Starts tasks; the results are in the order of `tasks`. */
    readonly start: (
        worker: Worker,
        fence: Fence,
        tasks: readonly TaskStart[],
    ) => Promise<Result<readonly StartAnswer[], PlatformError>>;
    /** Sets the fraction of full speed, from 0 to 1, at which attempts run. Ended attempts are ignored. */
    readonly throttle: (
        worker: Worker,
        fence: Fence,
        attempts: readonly TaskAttempt[],
        level: number,
    ) => Promise<Result<undefined, PlatformError>>;
    /** Checkpoints and stops an attempt; returns the checkpoint's id. */
    readonly checkpoint: (
        worker: Worker,
        fence: Fence,
        attempt: TaskAttempt,
    ) => Promise<Result<CheckpointId, PlatformError>>;
    /** Stops attempts; an attempt that has already ended keeps its outcome. */
    readonly stop: (
        worker: Worker,
        fence: Fence,
        attempts: readonly TaskAttempt[],
    ) => Promise<Result<undefined, PlatformError>>;
}
