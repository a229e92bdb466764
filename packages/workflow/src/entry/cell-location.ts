import type { CellId, FailureDomainId } from "@jayfront/world";

/** The workers of a cell, as far as the choice of its holder depends on them. */
export interface CellLocation {
    readonly cell: CellId;
    /** Failure domains of its workers. */
    readonly failureDomains: readonly FailureDomainId[];
    /** Regions by failure domain. */
    readonly regions: Readonly<Record<string, string>>;
}
