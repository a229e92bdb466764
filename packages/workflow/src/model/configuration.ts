import type { ServiceId } from "@jayfront/world";

import type { Queue } from "./queue.js";

/** A pool of workers. */
export interface WorkerPool {
    readonly name: ServiceId;
    /** Whether workers refuse what does not fit; others start whatever they are told to. */
    readonly guardsCapacity: boolean;
    /** Whether the pool's machines are switched off. */
    readonly isSpare: boolean;
}

/** The operator's configuration; a later version replaces an earlier one whole. */
export interface Configuration {
    readonly version: number;
    readonly queues: readonly Queue[];
    readonly pools: readonly WorkerPool[];
    /** Bytes of a request body beyond which it is refused. */
    readonly bodyLimit: number;
    /** Where its source goes on from this version; only the source reads it. */
    readonly position: number;
}
