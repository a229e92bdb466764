import type { EndedTask } from "./ended-task.js";
import type { Fence } from "./fence.js";
import type { WorkerId } from "./id/worker-id.js";
import type { RunningTask } from "./running-task.js";

/** A worker's reply to an adoption: all attempts that it runs, and all that ended and are not acknowledged. */
export interface Inventory {
    readonly worker: WorkerId;
    /** Changes when the worker restarts, which loses its record of attempts. */
    readonly incarnation: string;
    readonly fence: Fence;
    readonly running: readonly RunningTask[];
    readonly ended: readonly EndedTask[];
    /** Requests in flight that were admitted under earlier fences. */
    readonly foreignRequests: number;
    /** `leaving`: the worker is draining. */
    readonly state: "live" | "leaving";
}
