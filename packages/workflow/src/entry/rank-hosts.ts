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

/** The workers of a cell, as far as the choice of its holder depends on them. */
export interface CellLocation {
    readonly cell: CellId;
    /** Failure domains of its workers. */
    readonly failureDomains: readonly FailureDomainId[];
    /** Regions by failure domain. */
    readonly regions: Readonly<Record<string, string>>;
}

/** Milliseconds of store delay that make no difference to the rank; within a region the store answers in less. */
const storeDelayStep = 15;
/** Cost of a host in another failure domain than the cell's workers, as a multiple of that of one beside them. */
const otherDomainFactor = 1.5;

/** Whether the host is in the region of some of the cell's workers, so that its calls to them cross no slow link. */
export const isInRegionOf = (
    { failureDomains, regions }: CellLocation,
    { failureDomain }: Pick<HostCandidate, "failureDomain">,
): boolean => failureDomains.some(domain => domain === failureDomain || regions[domain] === regions[failureDomain]);

/** Cells per processor core of a host that holds `cells` cells; higher outside the failure domains of the cell's workers. */
export const holdingCost = (
    { failureDomains }: CellLocation,
    { failureDomain, processors }: Pick<HostCandidate, "failureDomain" | "processors">,
    cells: number,
): number => cells / processors * (failureDomains.includes(failureDomain) ? 1 : otherDomainFactor);

/**
 * Ranks hosts in the order in which they should take a cell: hosts in its regions first, then by store delay, then by
 * `holdingCost`, the new cell included; ties are broken by rendezvous hashing.
 */
export const rankHosts = (location: CellLocation, hosts: readonly HostCandidate[]): readonly HostId[] => {
    const locality = (host: HostCandidate): number => Number(isInRegionOf(location, host));
    const distance = (host: HostCandidate): number => Math.floor(host.storeDelay / storeDelayStep);
    const cost = (host: HostCandidate): number => holdingCost(location, host, host.heldCells + 1);
    const order = rendezvousRank(location.cell, hosts.map(host => host.id));
    return [...hosts].sort((left, right) =>
        locality(right) - locality(left)
        || distance(left) - distance(right)
        || cost(left) - cost(right)
        || order.indexOf(left.id) - order.indexOf(right.id)
    ).map(host => host.id);
};
