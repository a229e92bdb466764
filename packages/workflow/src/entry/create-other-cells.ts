import type { CellId } from "@jayfront/world";

import type { CellSummary } from "../cell/cell-summary.js";
import type { CpuRoom } from "../cell/cpu-room.js";
import type { OtherCells } from "../cell/other-cells.js";
import type { WorkflowCell } from "../cell/workflow-cell.js";
import type { WorkflowNetwork } from "../peer/workflow-network.js";
import type { CellClaims } from "./cell-claims.js";

/** Options of {@link createOtherCells}. */
export interface OtherCellsOptions {
    /** The cell that looks at the others. */
    readonly cell: CellId;
    readonly claims: CellClaims;
    readonly network: WorkflowNetwork;
    /** The cell, if this host holds it. */
    readonly held: (cell: CellId) => WorkflowCell | undefined;
}

/** Creates the view that a cell of this host has of the other cells. */
export const createOtherCells = ({ cell, claims, network, held }: OtherCellsOptions): OtherCells => {
    const summaries = (): readonly CellSummary[] =>
        claims.allFresh().map(({ summary }) => summary).filter(summary => summary.cell !== cell && summary.isActive);
    return {
        withFreeCpu: cpu =>
            summaries()
                .filter(summary => summary.freeCpu >= cpu)
                .sort((left, right) => right.freeCpu - left.freeCpu)
                .map(summary => summary.cell),
        cpuRoom: () =>
            summaries().reduce<CpuRoom>((sum, { freeCpu, capacityCpu }) => ({
                freeCpu: sum.freeCpu + freeCpu,
                capacityCpu: sum.capacityCpu + capacityCpu,
            }), { freeCpu: 0, capacityCpu: 0 }),
        roomIn: async (target, request) => {
            const ownCell = held(target);
            if (ownCell !== undefined) {
                return ownCell.offerRoom(request);
            }
            const claim = claims.fresh(target);
            const answer = claim === undefined
                ? undefined
                : await network.call(claim.host, "transfer-room", { cell: target, request });
            return answer?.isOk === true ? answer.value : 0;
        },
        placesIn: async (target, request) => {
            const ownCell = held(target);
            if (ownCell !== undefined) {
                return ownCell.offerPlaces(request);
            }
            const claim = claims.fresh(target);
            const answer = claim === undefined
                ? undefined
                : await network.call(claim.host, "workflow-room", { cell: target, request });
            return answer?.isOk === true ? answer.value : 0;
        },
        notifyArrival: (target, id) => {
            const ownCell = held(target);
            const claim = claims.fresh(target);
            if (ownCell !== undefined) {
                ownCell.addArrived(id);
            }
            else if (claim !== undefined) {
                void network.call(claim.host, "workflow-moved", { cell: target, id });
            }
        },
        notifyTransfer: target => {
            const ownCell = held(target);
            const claim = claims.fresh(target);
            if (ownCell !== undefined) {
                ownCell.readTransfers();
            }
            else if (claim !== undefined) {
                void network.call(claim.host, "transfers-changed", { cell: target });
            }
        },
        notifyReturn: (target, id) => {
            const ownCell = held(target);
            const claim = claims.fresh(target);
            if (ownCell !== undefined) {
                ownCell.readReturns(id, cell);
            }
            else if (claim !== undefined) {
                void network.call(claim.host, "tasks-returned", { cell: target, id, from: cell });
            }
        },
    };
};
