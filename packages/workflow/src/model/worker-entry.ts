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
    /** Unix milliseconds of the worker's start; distinguishes the incarnations of a worker under one id. */
    readonly bornAt: number;
}
