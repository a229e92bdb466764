import type { CellId, JobId } from "@jayfront/world";

import type { CpuRoom } from "./cpu-room.js";
import type { TransferRoomRequest } from "./transfer-room.js";
import type { WorkflowRoomRequest } from "./workflow-room.js";

/** The other cells, as the holder of a cell can reach their holders. */
export interface OtherCells {
    /** Cells that have at least `cpu` millicores unused, the one with the most first. */
    readonly withFreeCpu: (cpu: number) => readonly CellId[];
    /** Processor time of the other cells in total, as of the last heartbeats of their holders. */
    readonly cpuRoom: () => CpuRoom;
    /** Number of tasks for which the cell has room; 0 if its holder does not answer. */
    readonly roomIn: (cell: CellId, request: TransferRoomRequest) => Promise<number>;
    /** Number of tasks of a waiting workflow that the cell could start now; 0 if its holder does not answer. */
    readonly placesIn: (cell: CellId, request: WorkflowRoomRequest) => Promise<number>;
    /** Tells the cell's holder that a workflow has moved there. */
    readonly notifyArrival: (cell: CellId, id: JobId) => void;
    /** Tells the cell's holder that rows of tasks transferred to it have changed. */
    readonly notifyTransfer: (cell: CellId) => void;
    /** Tells the cell's holder that tasks of its workflow have been returned to it. */
    readonly notifyReturn: (cell: CellId, id: JobId) => void;
}
