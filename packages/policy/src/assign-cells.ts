import { rendezvousRank } from "@jayfront/world";

/**
 * Divides `cells` evenly among `hosts`: each cell goes to its highest ranked host that is below an even share.
 * Hosts with the same lists compute the same assignment, and few cells move when a host joins or leaves.
 */
export const assignCells = <Cell extends string, HostName extends string>(
    cells: readonly Cell[],
    hosts: readonly HostName[],
): ReadonlyMap<Cell, HostName> => {
    const evenShare = Math.ceil(cells.length / Math.max(1, hosts.length));
    const cellCounts = new Map<HostName, number>();
    const assigned = new Map<Cell, HostName>();
    for (const cell of cells) {
        const host = rendezvousRank(cell, hosts).find(candidate => (cellCounts.get(candidate) ?? 0) < evenShare);
        if (host !== undefined) {
            cellCounts.set(host, (cellCounts.get(host) ?? 0) + 1);
            assigned.set(cell, host);
        }
    }
    return assigned;
};
