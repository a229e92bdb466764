import type { HostId } from "./id/host-id.js";
import type { WorkerId } from "./id/worker-id.js";

/** A worker that the cell may use, with the incarnation that the cell adopted last. */
export interface RosterEntry {
    readonly worker: WorkerId;
    readonly incarnation: string;
}

/** Stored row of a cell: the host that alone may account for the cell's workers, and the workers themselves. */
export interface CellRow {
    /** Increases by one each time a host takes the cell. */
    readonly epoch: number;
    /** Host that took the cell at this epoch, and its incarnation. */
    readonly holder: { readonly host: HostId; readonly incarnation: string; };
    /** All workers that may run tasks of the cell's chunks. */
    readonly roster: readonly RosterEntry[];
}
