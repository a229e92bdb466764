import type { CellId, FailureDomainId, HostId } from "@jayfront/world";
import { rendezvousRank } from "@jayfront/world";

/** A host that may hold a cell. */
export interface HostCandidate {
    readonly id: HostId;
    readonly failureDomain: FailureDomainId;
    /** Milliseconds that the store takes to answer the host. */
    readonly storeDelay: number;
    /** Processor cores that the host may use; may be a fraction. */
    readonly processors: number;
    /** Number of cells that it already holds. */
    readonly heldCells: number;
}

/** Milliseconds of store delay that make no difference to the rank; within a region the store answers in less. */
const storeDelayStep = 15;

/**
 * Ranks hosts in the order in which they should take a cell: hosts in its failure domains first, then by store delay,
 * then by held cells per processor core, the new one included; ties are broken by rendezvous hashing.
 */
export const rankHosts = (
    cell: CellId,
    failureDomains: readonly FailureDomainId[],
    hosts: readonly HostCandidate[],
): readonly HostId[] => {
    const locality = (host: HostCandidate): number => Number(failureDomains.includes(host.failureDomain));
    const distance = (host: HostCandidate): number => Math.floor(host.storeDelay / storeDelayStep);
    const load = (host: HostCandidate): number => (host.heldCells + 1) / host.processors;
    const order = rendezvousRank(cell, hosts.map(host => host.id));
    return [...hosts].sort((left, right) =>
        locality(right) - locality(left)
        || distance(left) - distance(right)
        || load(left) - load(right)
        || order.indexOf(left.id) - order.indexOf(right.id)
    ).map(host => host.id);
};
