import type { WorkerId } from "@jayfront/world";

/** A worker on which a task may be placed, as placement sees it. */
export interface WorkerCandidate {
    readonly id: WorkerId;
    readonly rack: string;
    readonly capacityCpu: number;
    /** Thousandths of cores that no task reserves. */
    readonly freeCpu: number;
    /** Thousandths of cores that are expected to lie idle: what serving tasks reserve is seldom used whole. */
    readonly idleCpu: number;
    /** Serving tasks there, by image. */
    readonly servingImages: ReadonlyMap<string, number>;
    /** Slack of the serving tasks there without the task. */
    readonly slackBefore: number;
    /** As `slackBefore`, once the task is added, for tasks that could disturb them. */
    readonly slackAfter: number;
    /** Other workflows with serving tasks there; the load of each swings in a phase of its own. */
    readonly otherWorkflowCount: number;
    /** Share of the spare work that the worker could not take any more once the task is added; see `hostingValue`. */
    readonly compatibleShareLoss: number;
    /** Whether the same task has failed there. */
    readonly hasFailedBefore: boolean;
}
