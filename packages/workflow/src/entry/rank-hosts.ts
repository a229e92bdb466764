import type { CellId, FailureDomainId, HostId } from "@jayfront/world";
import { rendezvousRank } from "@jayfront/world";

/** A host that may hold a cell. */
export interface HostCandidate {
    readonly id: HostId;
    readonly failureDomain: FailureDomainId;
    /** Milliseconds that the store takes to answer the host. */
    readonly storeDelay: number;
    /** Cores of its processor. */
    readonly processors: number;
    /** Cells that it holds already. */
    readonly heldCells: number;
}

/** Milliseconds of store delay that make no difference; within a region the store answers in less. */
const storeDelayStep = 15;

/**
 * Hosts in the order in which they should take a cell: of its failure domains first, then those near the store, then
 * those that would have the most processor for each of their cells.
 */
export const rankHosts = (
    cell: CellId,
    failureDomains: readonly FailureDomainId[],
    hosts: readonly HostCandidate[],
): readonly HostId[] => {
    const isLocal = (host: HostCandidate): number => Number(failureDomains.includes(host.failureDomain));
    const distance = (host: HostCandidate): number => Math.floor(host.storeDelay / storeDelayStep);
    const load = (host: HostCandidate): number => (host.heldCells + 1) / host.processors;
    const order = rendezvousRank(cell, hosts.map(host => host.id));
    return [...hosts].sort((left, right) =>
        isLocal(right) - isLocal(left)
        || distance(left) - distance(right)
        || load(left) - load(right)
        || order.indexOf(left.id) - order.indexOf(right.id)
    ).map(host => host.id);
};
