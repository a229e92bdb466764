import type { Platform } from "@jayfront/platform";
import { assignCells, createTailModels } from "@jayfront/policy";
import type { CellId, Environment, EnvironmentDocument, Host, HostId, Worker, WorkerId } from "@jayfront/world";
import { cellId, cellOfWorker, sleep } from "@jayfront/world";
import type { Logger } from "pino";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

import type { Metrics } from "../metrics.js";
import type { Membership } from "../peer/membership.js";
import type { CellClaim } from "../peer/peer-message.js";
import type { PeerNetwork } from "../peer/peer-network.js";
import type { Settings } from "../settings.js";
import { readCellRow, writeCellRow } from "./cell-store.js";
import type { HeldCell } from "./held-cell.js";
import { createHeldCell } from "./held-cell.js";

/** Decides which cells of the failure domain this host holds, and takes, hands over and gives up accordingly. */
export interface CellManager {
    readonly run: (signal: AbortSignal) => Promise<void>;
    readonly heldCell: (cell: CellId) => HeldCell | undefined;
    readonly heldCells: () => readonly HeldCell[];
    readonly claims: () => CellClaim[];
    /** Takes a cell that its holder offers; true once the row names this host. */
    readonly acceptOffer: (cell: CellId, epoch: number) => Promise<boolean>;
    /** Cells of this failure domain. */
    readonly cells: () => readonly CellId[];
    /** Takes in what the live list shows. */
    readonly syncWorkers: () => void;
    /** Hands all cells to other hosts, where there are any; resolves when done or tried. */
    readonly handOverAll: () => Promise<void>;
    readonly stop: () => void;
}

/** Options of {@link createCellManager}. */
export interface CellManagerOptions {
    readonly self: Host;
    readonly incarnation: string;
    readonly platform: Platform;
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly timing: Settings["timing"];
    readonly environment: () => Environment | undefined;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly random: RandomGenerator;
    /** Planted fault, see {@link createHeldCell}. */
    readonly startsAfterFirstAdoption?: boolean;
}

const roundInterval = 500;
const backOffFirst = 5_000;
const backOffLimit = 60_000;

/** Creates a warden that holds no cell. */
export const createCellManager = (options: CellManagerOptions): CellManager => {
    const { self, incarnation, platform, network, membership, timing, environment, logger, metrics } = options;
    const heldCells = new Map<CellId, HeldCell>();
    const taking = new Set<CellId>();
    /** Monotonic milliseconds since which nobody claims the cell. */
    const unclaimedSince = new Map<CellId, number>();
    const backOff = new Map<CellId, { until: number; length: number; }>();
    const cellOf = new Map<WorkerId, CellId>();
    let isDraining = false;
    let handedOverAt = -Infinity;

    const currentDocument = (): EnvironmentDocument => {
        const current = environment();
        if (current === undefined) {
            throw new Error("a cell is held before the environment is known; this is a fault of jayfrontd");
        }
        return current.document;
    };
    const models = createTailModels(currentDocument);
    const cells = (): readonly CellId[] => {
        const domain = environment()?.document.failureDomains[self.failureDomain];
        return domain === undefined
            ? []
            : [...Array(domain.cells).keys()].map(number => cellId(self.failureDomain, number));
    };
    const workersOf = (cell: CellId): readonly Worker[] => {
        const count = cells().length;
        return membership.workers().filter(worker => {
            const known = cellOf.get(worker.id) ?? cellOfWorker(worker.id, worker.failureDomain, count);
            cellOf.set(worker.id, known);
            return known === cell;
        });
    };
    const preferredHost = (cell: CellId): HostId | undefined => {
        const ready = membership.alivePeers()
            .filter(peer => peer.heartbeat.isReady)
            .map(peer => peer.heartbeat.host.id);
        return assignCells(cells(), isDraining ? ready : [...ready, self.id]).get(cell);
    };
    const noteLost = (cell: CellId, reason: string, newerEpoch: number | undefined): void => {
        if (newerEpoch !== undefined) {
            lastKnownEpoch.set(cell, Math.max(lastKnownEpoch.get(cell) ?? 0, newerEpoch));
        }
        const length = Math.min(backOffLimit, (backOff.get(cell)?.length ?? backOffFirst / 2) * 2);
        backOff.set(cell, { until: performance.now() + length, length });
        heldCells.delete(cell);
        metrics.cellChanges.inc({ change: "lost" });
        logger.warn({ cell, reason }, "cell lost");
    };
    const hold = (cell: CellId, row: Parameters<typeof createHeldCell>[0]["row"], epoch: number): void => {
        heldCells.get(cell)?.stop();
        const heldCell = createHeldCell({
            ...options,
            cell,
            epoch,
            row,
            holder: `${self.id}/${incarnation}`,
            document: currentDocument,
            models,
            listWorkers: () => workersOf(cell),
            unlistedSince: membership.unlistedSince,
            onLost: (reason, newerEpoch) => {
                if (heldCells.get(cell) === heldCell) {
                    noteLost(cell, reason, newerEpoch);
                    if (heldCell.role === "caretaker") {
                        // It only had to learn the epoch that the workers obey.
                        backOff.delete(cell);
                    }
                }
            },
        });
        heldCells.set(cell, heldCell);
        unclaimedSince.delete(cell);
    };
    /** Takes the cell by a compare-and-set of its row; while the store is away this host becomes its caretaker. */
    const take = async (cell: CellId, isCaretakerWanted: boolean): Promise<boolean> => {
        const current = await readCellRow(platform.table, cell);
        if (current.isErr) {
            if (isCaretakerWanted && heldCells.get(cell) === undefined) {
                const epoch = lastKnownEpoch.get(cell) ?? 0;
                logger.warn({ cell, epoch }, "the store is away; taking care of the cell's workers");
                metrics.cellChanges.inc({ change: "caretaker" });
                hold(cell, undefined, epoch);
            }
            return false;
        }
        const epoch = (current.value?.row.epoch ?? 0) + 1;
        const row = {
            epoch,
            holder: { host: self.id, incarnation },
            roster: current.value?.row.roster ?? [],
        };
        metrics.storeWrites.inc({ purpose: "cell" });
        const written = await writeCellRow(platform.table, cell, row, current.value?.version ?? 0);
        if (written.isErr) {
            logger.info({ cell, error: written.error }, "cell not taken");
            return false;
        }
        logger.info({ cell, epoch, roster: row.roster.length }, "cell taken");
        metrics.cellChanges.inc({ change: "taken" });
        lastKnownEpoch.set(cell, epoch);
        hold(cell, written.value, epoch);
        return true;
    };
    const lastKnownEpoch = new Map<CellId, number>();
    const takeOnce = async (cell: CellId, isCaretakerWanted: boolean): Promise<boolean> => {
        if (taking.has(cell)) {
            return false;
        }
        taking.add(cell);
        try {
            return await take(cell, isCaretakerWanted);
        }
        finally {
            taking.delete(cell);
        }
    };
    const handOver = async (cell: CellId, to: HostId): Promise<boolean> => {
        const heldCell = heldCells.get(cell);
        const host = membership.hosts().find(candidate => candidate.id === to);
        if (heldCell === undefined || host === undefined || taking.has(cell)) {
            return false;
        }
        taking.add(cell);
        try {
            return await offerCell(heldCell, host);
        }
        finally {
            taking.delete(cell);
        }
    };
    const offerCell = async (heldCell: HeldCell, host: Host): Promise<boolean> => {
        const { cell } = heldCell;
        handedOverAt = performance.now();
        await heldCell.prepareHandover();
        const answer = await network.call(host, { kind: "cell-offer", cell, epoch: heldCell.epoch });
        if (answer.isOk && answer.value) {
            logger.info({ cell, to: host.id }, "cell handed over");
            metrics.cellChanges.inc({ change: "handed-over" });
            heldCell.stop();
            if (heldCells.get(cell) === heldCell) {
                heldCells.delete(cell);
            }
            return true;
        }
        heldCell.resume();
        return false;
    };
    const isBackedOff = (cell: CellId): boolean => (backOff.get(cell)?.until ?? 0) > performance.now();
    const reviewHeld = async (cell: CellId, heldCell: HeldCell): Promise<void> => {
        const claimant = membership.claimant(cell);
        if (claimant !== undefined) {
            lastKnownEpoch.set(cell, Math.max(lastKnownEpoch.get(cell) ?? 0, claimant.claim.epoch));
        }
        if (heldCell.role === "caretaker") {
            if (claimant?.claim.role === "holder") {
                heldCell.stop();
                heldCells.delete(cell);
                return;
            }
            await takeOnce(cell, false);
            return;
        }
        if (claimant?.claim.role === "holder" && claimant.claim.epoch > heldCell.epoch) {
            heldCell.stop();
            noteLost(cell, `${claimant.host.id} claims epoch ${String(claimant.claim.epoch)}`, claimant.claim.epoch);
            return;
        }
        const preferred = preferredHost(cell);
        const isSpaced = performance.now() - handedOverAt >= timing.handoverSpacing;
        if (preferred !== undefined && preferred !== self.id && isSpaced && !isDraining) {
            await handOver(cell, preferred);
        }
    };
    const reviewOther = async (cell: CellId): Promise<void> => {
        const claimant = membership.claimant(cell);
        if (claimant !== undefined) {
            lastKnownEpoch.set(cell, Math.max(lastKnownEpoch.get(cell) ?? 0, claimant.claim.epoch));
            // Within one epoch the caretaker may only keep the cell until somebody reaches the store.
            unclaimedSince.delete(cell);
            return;
        }
        const since = unclaimedSince.get(cell) ?? performance.now();
        unclaimedSince.set(cell, since);
        // A cell that was claimed before has lost its holder; one that never was may be about to be taken.
        const isSettled = lastKnownEpoch.has(cell) || performance.now() - since >= timing.heartbeat;
        if (isSettled && !isDraining && !isBackedOff(cell) && preferredHost(cell) === self.id) {
            await takeOnce(cell, true);
        }
    };
    const review = async (): Promise<void> => {
        await Promise.all(
            cells().map(cell => {
                const heldCell = heldCells.get(cell);
                return heldCell === undefined ? reviewOther(cell) : reviewHeld(cell, heldCell);
            }),
        );
    };
    return {
        run: async signal => {
            await sleep(timing.heartbeat * 2, signal);
            while (!signal.aborted) {
                void review();
                await sleep(roundInterval, signal);
            }
        },
        heldCell: cell => heldCells.get(cell),
        heldCells: () => [...heldCells.values()],
        claims: () =>
            [...heldCells.values()].map(heldCell => ({
                cell: heldCell.cell,
                epoch: heldCell.epoch,
                role: heldCell.role,
                freeSlots: heldCell.dispatcher.freeSlots(),
                queued: heldCell.dispatcher.queued(),
            })),
        acceptOffer: (cell, epoch) =>
            isDraining || !cells().includes(cell) || (heldCells.get(cell)?.epoch ?? 0) > epoch
                ? Promise.resolve(false)
                : takeOnce(cell, false),
        cells,
        syncWorkers: () => {
            for (const heldCell of heldCells.values()) {
                heldCell.syncWorkers();
            }
        },
        handOverAll: async () => {
            isDraining = true;
            for (const cell of [...heldCells.keys()]) {
                const preferred = preferredHost(cell);
                if (preferred !== undefined && heldCells.get(cell)?.role === "holder") {
                    await handOver(cell, preferred);
                }
            }
        },
        stop: () => {
            for (const heldCell of heldCells.values()) {
                heldCell.stop();
            }
        },
    };
};
