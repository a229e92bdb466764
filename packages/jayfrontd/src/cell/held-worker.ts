import type { TaskAttempt } from "@jayfront/platform";
import type { WorkerAccount } from "@jayfront/policy";
import type { Fence, TaskId, Worker } from "@jayfront/world";

/** State that the holder of a cell keeps for one of the cell's workers. */
export interface HeldWorker {
    readonly account: WorkerAccount;
    /** The worker's latest entry of the live list. */
    worker: Worker;
    /** The fence that the worker accepted last, or that the next adoption uses. */
    fence: Fence;
    /** Whether the worker has accepted a fence of this epoch at least once. */
    wasAdopted: boolean;
    /** Whether the latest adoption or renewal succeeded. */
    isReachable: boolean;
    /** Whether the next call must be an adoption, whose inventory shows what calls of unknown outcome did. */
    needsAdoption: boolean;
    /** Whether the worker is draining, which it reports as the state `leaving`: it takes no new tasks or requests. */
    isDraining: boolean;
    /** Undefined until the first adoption. */
    incarnation: string | undefined;
    /** Ended attempts that the next renewal acknowledges, so that the worker can forget them. */
    acknowledged: TaskAttempt[];
    /** Highest sequence number of the ended attempts received from this incarnation. */
    endedAfter: number;
    /** Sequence number of the next usage report to request. */
    reportsFrom: number;
    /** Monotonic time in milliseconds at which the worker confirmed that it runs the task. */
    readonly confirmedAt: Map<TaskId, number>;
    /** Tasks whose start command has not been answered. */
    readonly starting: Set<TaskId>;
    /** Requests of unknown outcome; they keep their slots until the next inventory counts the requests in flight. */
    unsettledRequests: number;
}
