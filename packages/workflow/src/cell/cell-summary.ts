import type { CellId, JobId } from "@jayfront/world";

/** State of a cell, which its holder sends to all entry hosts with each heartbeat. */
export interface CellSummary {
    readonly cell: CellId;
    readonly epoch: number;
    /** Whether the holder has loaded the cell's stored workflows and roster; the figures are complete only then. */
    readonly isActive: boolean;
    /** Whether the holder declines new workflows since it is late with the placement of those that it has accepted. */
    readonly isBehind: boolean;
    /** Tasks of urgent workflows that the holder accepts although it is behind; hosts of earlier versions don't send it. */
    readonly placementReserve?: number;
    /** Milliseconds since the holder sent the last call that proved its lease. */
    readonly provenAgo: number;
    /** Number of workflows of which no task has started, by queue name. */
    readonly pending: Readonly<Record<string, number>>;
    /** Racks with at least one usable worker. A worker is usable if it is in contact and not draining. */
    readonly racks: readonly string[];
    /** Millicores of all usable workers. */
    readonly capacityCpu: number;
    /** Millicores that running tasks reserve or could use, and those that waiting long-running tasks request. */
    readonly usedCpu: number;
    /** Millicores of all usable workers that no task reserves, whatever waits in the cell. */
    readonly freeCpu: number;
    /** Remaining work of tasks that are not long-running, in millicores times ms, indexed by queue priority. */
    readonly backlog: readonly number[];
    /** Workflows accepted since the last heartbeat. */
    readonly accepted: readonly JobId[];
}
