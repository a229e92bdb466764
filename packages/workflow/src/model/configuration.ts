import type { ServiceId } from "@jayfront/world";

import type { Queue } from "./queue.js";

/** A pool of workers, which run the tasks of one service. */
export interface WorkerPool {
    readonly name: ServiceId;
    /** Whether the workers refuse tasks that exceed their capacity; others start any task. */
    readonly guardsCapacity: boolean;
    /** Whether the pool's machines are switched off. */
    readonly isSpare: boolean;
}

/** The operator's configuration; a later version replaces an earlier one entirely. */
export interface Configuration {
    readonly version: number;
    readonly queues: readonly Queue[];
    readonly pools: readonly WorkerPool[];
    /** Largest request body that is accepted, in bytes. */
    readonly bodyLimit: number;
    /** Position in the source from which to read later versions; opaque to all but the source. */
    readonly position: number;
}
