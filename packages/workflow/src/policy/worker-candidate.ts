import type { WorkerId } from "@jayfront/world";

/** A worker on which a task may be placed. */
export interface WorkerCandidate {
    readonly id: WorkerId;
    readonly rack: string;
    /** Millicores. */
    readonly capacityCpu: number;
    /** Millicores that no task reserves. */
    readonly freeCpu: number;
    /** Millicores expected to be idle, reserved or not: serving tasks seldom use all that they reserve. */
    readonly idleCpu: number;
    /** Number of serving tasks on the worker by image. */
    readonly servingImages: ReadonlyMap<string, number>;
    /** Slack of the worker's serving tasks without the new task; see `ServingSlack`. */
    readonly slackBefore: number;
    /** Slack of the worker's serving tasks with the new task; infinite for tasks that don't use spare CPU. */
    readonly slackAfter: number;
    /** Number of other workflows with serving tasks on the worker; their load peaks at other times. */
    readonly otherWorkflowCount: number;
    /** Decrease of the worker's `compatibleSpareShare` by the new task. */
    readonly compatibleShareLoss: number;
    /** Speed of the worker; 1 is normal, less is slower. */
    readonly speed: number;
    /** Whether the same task has failed on the worker. */
    readonly hasFailedBefore: boolean;
}
