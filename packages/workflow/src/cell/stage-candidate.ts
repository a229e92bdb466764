import type { Stage, WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { Queue } from "../model/queue.js";
import type { Urgency } from "../policy/urgency.js";

/** Tasks of a step that wait for workers. */
export interface StageCandidate {
    readonly ledger: WorkflowLedger;
    readonly stage: Stage;
    /** The queue as the configuration in force has it. */
    readonly queue: Queue;
    readonly urgency: Urgency;
    /** Indices of the tasks, all of which have this urgency. */
    readonly indices: readonly number[];
}
