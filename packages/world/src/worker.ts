import type { FailureDomainId } from "./id/failure-domain-id.js";
import type { WorkerId } from "./id/worker-id.js";
import type { Resources } from "./resources.js";

/** A machine of the platform that runs endpoints and batch tasks. */
export interface Worker {
    readonly id: WorkerId;
    readonly failureDomain: FailureDomainId;
    /** Rack of the machine. */
    readonly rack: string;
    /** `IP:port` of the worker's task interface and endpoints. */
    readonly address: string;
    /** Resources that tasks and endpoints may hold together. */
    readonly resources: Resources;
    /** Requests that may run at the same time. */
    readonly slots: number;
    /** Connections that may be open at the same time. */
    readonly connections: number;
    /** `leaving`: the worker is draining; it finishes what it runs and gets nothing new. */
    readonly state: "live" | "leaving";
}
