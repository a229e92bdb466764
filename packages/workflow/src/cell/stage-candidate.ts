import type { Stage } from "../ledger/stage.js";
import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { Queue } from "../model/queue.js";
import type { Urgency } from "../policy/urgency.js";

/** Waiting tasks of a step that have the same urgency. */
export interface StageCandidate {
    readonly ledger: WorkflowLedger;
    readonly stage: Stage;
    /** The workflow's queue in the current configuration. */
    readonly queue: Queue;
    readonly urgency: Urgency;
    /** Indices of the tasks within the step. */
    readonly indices: readonly number[];
    /** Whether workers have crashed under the tasks, so that each starts only where that can be told from other causes. */
    readonly isSuspect: boolean;
}
