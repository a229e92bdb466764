import type { FailureDomainId } from "./id/failure-domain-id.js";
import type { HostId } from "./id/host-id.js";

/** An entry host, as listed in the live list and by its peers. */
export interface Host {
    readonly id: HostId;
    readonly failureDomain: FailureDomainId;
    /** `IP:port` that callers and operators use. */
    readonly address: string;
    /** `IP:port` that other entry hosts use. */
    readonly peerAddress: string;
}
