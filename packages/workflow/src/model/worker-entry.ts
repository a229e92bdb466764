import type { FailureDomainId, ServiceId, WorkerId } from "@jayfront/world";

/** Resources of a worker. */
export interface Capacity {
    /** Millicores. */
    readonly cpu: number;
    /** MB. */
    readonly memory: number;
    readonly accelerators: number;
}

/** A worker as registered in the worker directory. */
export interface WorkerEntry {
    readonly id: WorkerId;
    /** `IP:port`. */
    readonly address: string;
    readonly service: ServiceId;
    readonly failureDomain: FailureDomainId;
    readonly rack: string;
    readonly labels: readonly string[];
    readonly capacity: Capacity;
    readonly isDraining: boolean;
    /** Milliseconds for which a draining worker stays at least, as of this entry. */
    readonly remaining?: number;
    /** Monotonic time in ms until which the worker is cold, so that all runs on it take longer; absent if it is not. */
    readonly coldUntil?: number;
    /** Unix milliseconds of the worker's start; distinguishes the incarnations of a worker under one id. */
    readonly bornAt: number;
}
