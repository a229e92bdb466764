import type { WorkerId } from "@jayfront/world";

/** A worker on which a task may be placed, as placement sees it. */
export interface WorkerCandidate {
    readonly id: WorkerId;
    readonly rack: string;
    /** Thousandths of cores free for reserving tasks. */
    readonly freeCpu: number;
    /** As `freeCpu`, less what tasks on spare processor time want. */
    readonly spareCpu: number;
    readonly capacityCpu: number;
    /** Tasks there whose tail has a target. */
    readonly servingTasks: number;
    /** Tasks there that take spare processor time. */
    readonly spareTasks: number;
    /** Failed runs of the same task there. */
    readonly failedBefore: boolean;
}
