import type { FailureDomainId, ServiceId, WorkerId } from "@jayfront/world";

/** What a worker holds: thousandths of cores, MB of memory, accelerators. */
export interface Capacity {
    readonly cpu: number;
    readonly memory: number;
    readonly accelerators: number;
}

/** A worker as it registered itself. */
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
    /** Milliseconds that a draining worker stays at least, as of its last report. */
    readonly remaining?: number;
    /** Unix milliseconds of the worker's start; differs between two lives under one id. */
    readonly bornAt: number;
}
