import type { CheckpointId } from "./id/checkpoint-id.js";
import type { TaskId } from "./id/task-id.js";

/** How an attempt ended. `stopped`: by a command to stop it, or because its task lease expired. */
export type TaskOutcome = "finished" | "failed" | "out-of-memory" | "checkpointed" | "stopped";

/** An attempt that ended on a worker. The worker keeps it until it is acknowledged. */
export interface EndedTask {
    /** Number of the end, from 1 in each incarnation of the worker. */
    readonly sequence: number;
    readonly task: TaskId;
    readonly attempt: number;
    readonly outcome: TaskOutcome;
    /** Set where the outcome is `checkpointed`. */
    readonly checkpoint?: CheckpointId | undefined;
    /** Milliseconds that the attempt ran. */
    readonly runTime: number;
    /** Peak memory of the attempt in GB. */
    readonly peakMemory: number;
}
