import type { WorkerId } from "@jayfront/world";

import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { Step } from "../model/step.js";
import type { TaskName, TaskNameParts } from "../model/task-name.js";

/**
 * A run of a task on a worker: `starting` until the worker has answered, `unsettled` where it did not and may still
 * start the task, `stopping` once it has been told to stop.
 */
export interface Run {
    readonly task: TaskName;
    readonly position: TaskNameParts;
    readonly number: number;
    readonly worker: WorkerId;
    readonly ledger: WorkflowLedger;
    readonly step: Step;
    /** Steady milliseconds of the order. */
    readonly orderedAt: number;
    phase: "starting" | "running" | "unsettled" | "stopping";
    /** Steady milliseconds of the last answer to an order for this run; looks sent earlier don't tell of it. */
    answeredAt: number;
    /** Steady milliseconds since which the run is at work, as far as known. */
    startedAt: number;
    /** Last reported share of the work that is done. */
    percent: number;
    /** Steady milliseconds at which `percent` last rose. */
    percentChangedAt: number;
    /** Steady milliseconds of the last report that listed the run. */
    reportedAt: number;
    /** Last reported tail in ms, or thousandths of cores in use. */
    measure: number;
    /** Newest checkpoint that the worker reported. */
    checkpoint: string;
    /** Share of its speed that the run was given last. */
    pace: number;
    /** Whether it was slowed at any time, so that its run time tells nothing. */
    wasSlowed: boolean;
    /** Why the run is being stopped. */
    stopReason: string | undefined;
}
