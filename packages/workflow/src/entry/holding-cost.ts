import type { CellLocation } from "./cell-location.js";
import type { HostCandidate } from "./rank-hosts.js";

/** Cost of a host in another failure domain than the cell's workers, as a multiple of that of one beside them. */
const otherDomainFactor = 1.5;

/** Cells per processor core of a host that holds `cells` cells; higher outside the failure domains of the cell's workers. */
export const holdingCost = (
    { failureDomains }: CellLocation,
    { failureDomain, processors }: Pick<HostCandidate, "failureDomain" | "processors">,
    cells: number,
): number => cells / processors * (failureDomains.includes(failureDomain) ? 1 : otherDomainFactor);
