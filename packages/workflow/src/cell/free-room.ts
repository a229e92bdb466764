import type { CellWorkers } from "./cell-workers.js";
import { isListed } from "./cell-workers.js";
import type { CpuRoom } from "./cpu-room.js";

/** Shares (0 to 1) of processor time that no task reserves; 0 without usable workers. */
export interface FreeRoom {
    /** Share of the workers of this cell. */
    readonly ofCell: () => number;
    /** Share of the workers of all cells; of the others as of the last heartbeats of their holders. */
    readonly ofAllCells: () => number;
}

/** Options of {@link createFreeRoom}. */
export interface FreeRoomOptions {
    readonly workers: CellWorkers;
    /** See `OtherCells.cpuRoom`. */
    readonly otherCellsRoom: () => CpuRoom;
}

const shareOf = ({ freeCpu, capacityCpu }: CpuRoom): number => capacityCpu > 0 ? freeCpu / capacityCpu : 0;

/** Creates the view that the holder of a cell has of the free processor time. */
export const createFreeRoom = ({ workers, otherCellsRoom }: FreeRoomOptions): FreeRoom => {
    const cellRoom = (): CpuRoom => {
        let freeCpu = 0;
        let capacityCpu = 0;
        for (const worker of workers.values()) {
            if (isListed(worker) && worker.session.contact() === "known" && !worker.isEvacuated()) {
                freeCpu += worker.resources.freeCpu();
                capacityCpu += worker.resources.capacity().cpu;
            }
        }
        return { freeCpu, capacityCpu };
    };
    return {
        ofCell: () => shareOf(cellRoom()),
        ofAllCells: () => {
            const own = cellRoom();
            const others = otherCellsRoom();
            return shareOf({
                freeCpu: own.freeCpu + others.freeCpu,
                capacityCpu: own.capacityCpu + others.capacityCpu,
            });
        },
    };
};
