import type { WorkerId } from "@jayfront/world";

import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { Step } from "../model/step.js";
import type { TaskName, TaskNameParts } from "../model/task-name.js";

/**
 * A run of a task on a worker. Its phase is `starting` until the worker has answered the start order, `unsettled` if
 * it did not answer and may still start the task, and `stopping` once a stop was ordered.
 */
export interface Run {
    readonly task: TaskName;
    readonly position: TaskNameParts;
    readonly number: number;
    readonly worker: WorkerId;
    readonly ledger: WorkflowLedger;
    readonly step: Step;
    /** Monotonic time in ms at which the run was created and its start ordered. */
    orderedAt: number;
    phase: "starting" | "running" | "unsettled" | "stopping";
    /** Monotonic time in ms of the last answer to an order for this run; earlier polls may not reflect that order. */
    answeredAt: number;
    /** Monotonic time in ms at which the run started, as far as known; that of its order until the worker answers. */
    startedAt: number;
    /** Last reported percentage of the work that is done. */
    percent: number;
    /** Monotonic time in ms at which `percent` last changed, or at which the run was last set to work faster. */
    percentChangedAt: number;
    /** Monotonic time in ms of the last report that listed the run. */
    reportedAt: number;
    /** Last reported tail latency in ms of a serving task, or millicores that another task uses. */
    measure: number;
    /** Newest checkpoint that the worker reported. */
    checkpoint: string;
    /**
     * Percentage of its full speed at which the run works; undefined while it is not known, since an earlier holder set
     * it or the worker has not answered the last order.
     */
    pace: number | undefined;
    /** Monotonic time in ms since which `pace` is 0; Infinity while it is not. */
    haltedSince: number;
    /** Whether the worker has reported the run so long after its start that the start can't be what crashes a worker. */
    isProven: boolean;
    /** Whether the time since `startedAt` is the time that the task takes at full speed, from its beginning. */
    hasFullRunTime: boolean;
    /**
     * Monotonic time in ms since which the run is expected to be over: its stop was ordered, or its worker is silent or
     * has restarted. Undefined while it is not.
     */
    doubtedAt: number | undefined;
    /** Why the run is being stopped; undefined while it is not. */
    stopReason: string | undefined;
}
