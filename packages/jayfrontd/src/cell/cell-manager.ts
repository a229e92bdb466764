import type { Platform } from "@jayfront/platform";
import { assignCells, createLatencyModels } from "@jayfront/policy";
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

/** Decides which cells of its failure domain this host holds, and takes, hands over and gives up cells accordingly. */
export interface CellManager {
    /** Reviews the cells periodically until `signal` aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
    /** The cell if this host holds it or is its caretaker, else undefined. */
    readonly heldCell: (cell: CellId) => HeldCell | undefined;
    /** All cells that this host holds or is the caretaker of. */
    readonly heldCells: () => readonly HeldCell[];
    /** The claims of held cells that this host's heartbeats carry. */
    readonly claims: () => CellClaim[];
    /** Takes a cell that its holder offers; resolves to true once the cell's row names this host as the holder. */
    readonly acceptOffer: (cell: CellId, epoch: number) => Promise<boolean>;
    /** Cells of this failure domain. */
    readonly cells: () => readonly CellId[];
    /** Applies the live list to the workers of all held cells. */
    readonly syncWorkers: () => void;
    /** Stops taking cells and offers each held one to the host preferred for it; resolves after all offers. */
    readonly handOverAll: () => Promise<void>;
    /** Gives up all cells without a handover. */
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
    /** Injected fault for tests, see {@link createHeldCell}. */
    readonly startsAfterFirstAdoption?: boolean;
}

/** Interval between reviews of all cells. */
const reviewIntervalMs = 500;
/** Time for which a lost cell is not taken again; doubled for each further loss. */
const initialBackOffMs = 5_000;
const maxBackOffMs = 60_000;

/** Creates a manager that holds no cell. */
export const createCellManager = (options: CellManagerOptions): CellManager => {
    const { self, incarnation, platform, network, membership, timing, environment, logger, metrics } = options;
    const heldCells = new Map<CellId, HeldCell>();
    /** Cells that this host is taking or handing over. */
    const inTransfer = new Set<CellId>();
    /** Monotonic time in milliseconds since which no host claims the cell. */
    const unclaimedSince = new Map<CellId, number>();
    /** Monotonic time in milliseconds until which a lost cell is not taken again, and the length of this back-off. */
    const backOff = new Map<CellId, { until: number; length: number; }>();
    /** Cells of the workers that were listed so far. */
    const cellOf = new Map<WorkerId, CellId>();
    let isDraining = false;
    let lastHandoverAt = -Infinity;

    const currentDocument = (): EnvironmentDocument => {
        const current = environment();
        if (current === undefined) {
            throw new Error(
                "a cell is held before the environment document was received; report this bug in jayfrontd",
            );
        }
        return current.document;
    };
    const models = createLatencyModels(currentDocument);
    const cells = (): readonly CellId[] => {
        const domain = environment()?.document.failureDomains[self.failureDomain];
        return domain === undefined
            ? []
            : [...Array(domain.cells).keys()].map(number => cellId(self.failureDomain, number));
    };
    const workersOf = (cell: CellId): readonly Worker[] => {
        const count = cells().length;
        return membership.workers().filter(worker => {
            const assigned = cellOf.get(worker.id) ?? cellOfWorker(worker.id, worker.failureDomain, count);
            cellOf.set(worker.id, assigned);
            return assigned === cell;
        });
    };
    const preferredHost = (cell: CellId): HostId | undefined => {
        const ready = membership.freshLocalPeers()
            .filter(peer => peer.heartbeat.isReady)
            .map(peer => peer.heartbeat.host.id);
        return assignCells(cells(), isDraining ? ready : [...ready, self.id]).get(cell);
    };
    const recordLoss = (cell: CellId, reason: string, newerEpoch: number | undefined): void => {
        if (newerEpoch !== undefined) {
            lastKnownEpoch.set(cell, Math.max(lastKnownEpoch.get(cell) ?? 0, newerEpoch));
        }
        const length = Math.min(maxBackOffMs, (backOff.get(cell)?.length ?? initialBackOffMs / 2) * 2);
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
                    recordLoss(cell, reason, newerEpoch);
                    if (heldCell.role === "caretaker") {
                        // A caretaker gets here when it learns the epoch that the workers have accepted, and may go on
                        // with that epoch at once.
                        backOff.delete(cell);
                    }
                }
            },
        });
        heldCells.set(cell, heldCell);
        unclaimedSince.delete(cell);
    };
    /** Takes the cell by a compare-and-set of its row; if the store is unavailable, may become its caretaker. */
    const takeCell = async (cell: CellId, isCaretakerWanted: boolean): Promise<boolean> => {
        const current = await readCellRow(platform.table, cell);
        if (current.isErr) {
            if (isCaretakerWanted && heldCells.get(cell) === undefined) {
                const epoch = lastKnownEpoch.get(cell) ?? 0;
                logger.warn({ cell, epoch }, "store unavailable; serving the cell as caretaker");
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
            logger.info({ cell, error: written.error }, "could not take the cell");
            return false;
        }
        logger.info({ cell, epoch, roster: row.roster.length }, "cell taken");
        metrics.cellChanges.inc({ change: "taken" });
        lastKnownEpoch.set(cell, epoch);
        hold(cell, written.value, epoch);
        return true;
    };
    const lastKnownEpoch = new Map<CellId, number>();
    /** Takes the cell unless it is being taken or handed over. */
    const takeExclusively = async (cell: CellId, isCaretakerWanted: boolean): Promise<boolean> => {
        if (inTransfer.has(cell)) {
            return false;
        }
        inTransfer.add(cell);
        try {
            return await takeCell(cell, isCaretakerWanted);
        }
        finally {
            inTransfer.delete(cell);
        }
    };
    const handOver = async (cell: CellId, to: HostId): Promise<boolean> => {
        const heldCell = heldCells.get(cell);
        const host = membership.hosts().find(candidate => candidate.id === to);
        if (heldCell === undefined || host === undefined || inTransfer.has(cell)) {
            return false;
        }
        inTransfer.add(cell);
        try {
            return await offerCell(heldCell, host);
        }
        finally {
            inTransfer.delete(cell);
        }
    };
    const offerCell = async (heldCell: HeldCell, host: Host): Promise<boolean> => {
        const { cell } = heldCell;
        lastHandoverAt = performance.now();
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
            await takeExclusively(cell, false);
            return;
        }
        if (claimant?.claim.role === "holder" && claimant.claim.epoch > heldCell.epoch) {
            heldCell.stop();
            recordLoss(cell, `${claimant.host.id} claims epoch ${String(claimant.claim.epoch)}`, claimant.claim.epoch);
            return;
        }
        const preferred = preferredHost(cell);
        const isSpacingOver = performance.now() - lastHandoverAt >= timing.handoverSpacing;
        if (preferred !== undefined && preferred !== self.id && isSpacingOver && !isDraining) {
            await handOver(cell, preferred);
        }
    };
    const reviewUnheld = async (cell: CellId): Promise<void> => {
        const claimant = membership.claimant(cell);
        if (claimant !== undefined) {
            lastKnownEpoch.set(cell, Math.max(lastKnownEpoch.get(cell) ?? 0, claimant.claim.epoch));
            // A caretaker's claim counts, too: the caretaker itself becomes the holder once it can reach the store.
            unclaimedSince.delete(cell);
            return;
        }
        const since = unclaimedSince.get(cell) ?? performance.now();
        unclaimedSince.set(cell, since);
        // A cell that was claimed before has lost its holder. One that never was may be about to be taken by another
        // host, so this host waits for one heartbeat interval first.
        const hasNoHolder = lastKnownEpoch.has(cell) || performance.now() - since >= timing.heartbeat;
        if (hasNoHolder && !isDraining && !isBackedOff(cell) && preferredHost(cell) === self.id) {
            await takeExclusively(cell, true);
        }
    };
    const review = async (): Promise<void> => {
        await Promise.all(
            cells().map(cell => {
                const heldCell = heldCells.get(cell);
                return heldCell === undefined ? reviewUnheld(cell) : reviewHeld(cell, heldCell);
            }),
        );
    };
    return {
        run: async signal => {
            await sleep(timing.heartbeat * 2, signal);
            while (!signal.aborted) {
                void review();
                await sleep(reviewIntervalMs, signal);
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
                : takeExclusively(cell, false),
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
