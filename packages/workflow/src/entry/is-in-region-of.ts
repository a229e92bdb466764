import type { CellLocation } from "./cell-location.js";
import type { HostCandidate } from "./rank-hosts.js";

/** Whether the host is in the region of some of the cell's workers, so that its calls to them cross no slow link. */
export const isInRegionOf = (
    { failureDomains, regions }: CellLocation,
    { failureDomain }: Pick<HostCandidate, "failureDomain">,
): boolean => failureDomains.some(domain => domain === failureDomain || regions[domain] === regions[failureDomain]);
