import type { CellId, FailureDomainId, HostId } from "@jayfront/world";
import { rendezvousRank } from "@jayfront/world";

/** A host that may hold a cell. */
export interface HostCandidate {
    readonly id: HostId;
    readonly failureDomain: FailureDomainId;
    /** Cells that it holds already. */
    readonly heldCells: number;
}

/** Hosts in the order in which they should take a cell: of its failure domain first, then those that hold the fewest. */
export const rankHosts = (
    cell: CellId,
    domain: FailureDomainId,
    hosts: readonly HostCandidate[],
): readonly HostId[] => {
    const order = rendezvousRank(cell, hosts.map(host => host.id));
    return [...hosts].sort((left, right) =>
        Number(right.failureDomain === domain) - Number(left.failureDomain === domain)
        || left.heldCells - right.heldCells
        || order.indexOf(left.id) - order.indexOf(right.id)
    ).map(host => host.id);
};
