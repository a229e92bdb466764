import type { CellId, JobId } from "@jayfront/world";

/** What a cell's holder tells all entry hosts of it, with each heartbeat. */
export interface CellSummary {
    readonly cell: CellId;
    readonly epoch: number;
    /** Whether the holder has taken in what its predecessor left; only then is what it says complete. */
    readonly isActive: boolean;
    /** Milliseconds since the holder last proved its lease. */
    readonly provenAgo: number;
    /** Workflows without a started task, by queue. */
    readonly pending: Readonly<Record<string, number>>;
    /** Racks whose workers may be used. */
    readonly racks: readonly string[];
    /** Thousandths of cores of the workers that may be used. */
    readonly capacityCpu: number;
    /** Thousandths of cores that are taken or wanted by running tasks. */
    readonly usedCpu: number;
    /** Thousandths of cores times milliseconds of work that waits or runs, by priority. */
    readonly backlog: readonly number[];
    /** Workflows accepted since the last heartbeat. */
    readonly accepted: readonly JobId[];
}
