import type { FailureDomainId, HostId } from "@jayfront/world";
import { rendezvousRank } from "@jayfront/world";

import type { CellLocation } from "./cell-location.js";
import { holdingCost } from "./holding-cost.js";
import { isInRegionOf } from "./is-in-region-of.js";

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
 * Steps of the store delay by region. Hosts of a region have the same way to the store, so that the least of their delays
 * is nearest to it: the others include the lateness of a process that was starting, or of a store that was slow then.
 */
const distancesOf = (
    { regions }: CellLocation,
    hosts: readonly HostCandidate[],
): ReadonlyMap<string | undefined, number> => {
    const distances = new Map<string | undefined, number>();
    for (const { failureDomain, storeDelay } of hosts) {
        const region = regions[failureDomain];
        const known = distances.get(region) ?? Infinity;
        distances.set(region, Math.min(known, Math.floor(storeDelay / storeDelayStep)));
    }
    return distances;
};

/**
 * Ranks hosts in the order in which they should take a cell: hosts in its regions first, then by the delay of the store in
 * their region, then by `holdingCost`, the new cell included; ties are broken by rendezvous hashing.
 */
export const rankHosts = (location: CellLocation, hosts: readonly HostCandidate[]): readonly HostId[] => {
    const distances = distancesOf(location, hosts);
    const locality = (host: HostCandidate): number => Number(isInRegionOf(location, host));
    const distance = ({ failureDomain }: HostCandidate): number =>
        distances.get(location.regions[failureDomain]) ?? Infinity;
    const cost = (host: HostCandidate): number => holdingCost(location, host, host.heldCells + 1);
    const order = rendezvousRank(location.cell, hosts.map(host => host.id));
    return [...hosts].sort((left, right) =>
        locality(right) - locality(left)
        || distance(left) - distance(right)
        || cost(left) - cost(right)
        || order.indexOf(left.id) - order.indexOf(right.id)
    ).map(host => host.id);
};
