import type { CheckpointId } from "./id/checkpoint-id.js";
import type { TaskId } from "./id/task-id.js";
import type { TeamId } from "./id/team-id.js";
import type { Resources } from "./resources.js";

/** A command to a worker to start one attempt of a batch task. */
export interface TaskStart {
    readonly task: TaskId;
    /** Number of the attempt, from 1; each start of a task has a higher one. */
    readonly attempt: number;
    readonly team: TeamId;
    /** Class by which interference, run time and memory are learned. */
    readonly batchClass: string;
    readonly resources: Resources;
    /** Passed to the task unchanged. */
    readonly payload: string;
    /** Checkpoint to resume from; each is used by one attempt only. */
    readonly checkpoint?: CheckpointId | undefined;
}
