import type { TaskAttempt } from "@jayfront/platform";
import type { WorkerAccount } from "@jayfront/policy";
import type { Fence, TaskId, Worker } from "@jayfront/world";

/** A worker as the holder of its cell sees it. */
export interface HeldWorker {
    readonly account: WorkerAccount;
    /** Description from the live list. */
    worker: Worker;
    /** Pair that the worker accepted last, or that is tried next. */
    fence: Fence;
    /** Whether the worker has accepted a fence of this epoch at least once. */
    wasAdopted: boolean;
    /** Whether the latest adoption or renewal came through. */
    isReachable: boolean;
    /** Whether the worker must be adopted anew before anything else, to learn what an unknown call did. */
    needsAdoption: boolean;
    isLeaving: boolean;
    incarnation: string | undefined;
    /** Ended attempts that the worker may forget. */
    acknowledged: TaskAttempt[];
    /** Sequence of the latest end that was taken in. */
    endedAfter: number;
    /** Next usage report to ask for. */
    reportsFrom: number;
    /** Started tasks that the worker has confirmed, with monotonic milliseconds. */
    readonly confirmedAt: Map<TaskId, number>;
    /** Tasks whose start is on its way. */
    readonly starting: Set<TaskId>;
    /** Requests whose end is unknown; their slots are kept until the next inventory counts what still runs. */
    unsettledRequests: number;
}
