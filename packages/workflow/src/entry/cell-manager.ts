import type { CellId, FailureDomainId, HostId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import type { Logger } from "pino";

import type { CellHolder } from "../cell/cell-lease.js";
import type { HolderRow } from "../cell/take-cell.js";
import { absentVersion, readHolderRow, takeCell } from "../cell/take-cell.js";
import type { WorkflowCell } from "../cell/workflow-cell.js";
import type { EntryHostRecord, HostRegistry } from "../peer/host-registry.js";
import type { WorkflowNetwork } from "../peer/workflow-network.js";
import type { StateStore } from "../port/state-store.js";
import type { ProcessDelay } from "../process/process-delay.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import type { CellClaims } from "./cell-claims.js";
import type { CellLocation } from "./cell-location.js";
import type { CellPlan } from "./cell-plan.js";
import { createHolderChanges } from "./holder-changes.js";
import { createHolderProbe } from "./holder-probe.js";
import { holdingCost } from "./holding-cost.js";
import { isInRegionOf } from "./is-in-region-of.js";
import { rankHosts } from "./rank-hosts.js";

/**
 * Decides which cells this host holds: takes cells that have no live holder, and hands over cells that other hosts can
 * serve better.
 */
export interface CellManager {
    /** The cell, if this host holds it. */
    readonly held: (cell: CellId) => WorkflowCell | undefined;
    /** All cells that this host holds. */
    readonly allHeld: () => readonly WorkflowCell[];
    /** Takes a cell that its holder offers; resolves to true once the cell's row names this host. */
    readonly acceptOffer: (cell: CellId, epoch: number) => Promise<boolean>;
    /** Releases cells held here that `host` claims with a higher epoch. */
    readonly releaseSuperseded: (host: EntryHostRecord) => void;
    /** Reviews all cells at regular intervals until `signal` aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
    /** Offers all cells to other hosts and takes no more; for a shutdown. */
    readonly handOverAll: () => Promise<void>;
    /** Hosts that would take a cell if its holder were lost, in order of preference. */
    readonly successors: (cell: CellId) => readonly HostId[];
    /** Whether other hosts have received heartbeats of a holder with an epoch later than `epoch`. */
    readonly hasSuccessor: (cell: CellId, epoch: number) => Promise<boolean>;
}

/** Options of {@link createCellManager}. */
export interface CellManagerOptions {
    readonly self: EntryHostRecord;
    /** The assignment of failure domains to cells; undefined until it has been read. */
    readonly plan: () => CellPlan | undefined;
    /** Regions by failure domain. */
    readonly regions: Readonly<Record<string, string>>;
    readonly store: StateStore;
    readonly network: WorkflowNetwork;
    readonly registry: HostRegistry;
    readonly claims: CellClaims;
    readonly metrics: WorkflowMetrics;
    readonly processDelay: ProcessDelay;
    /** Monotonic time in ms of the store's last answer. */
    readonly storeHeardAt: () => number;
    readonly logger: Logger;
    /** Opens a cell that this host has just taken. `takenAt`: monotonic time in ms at which the call was sent. */
    readonly openCell: (
        cell: CellId,
        row: HolderRow,
        takenAt: number,
        onLost: (reason: string) => void,
    ) => WorkflowCell;
    /** Called when the set of held cells has changed. */
    readonly onChange: () => void;
    /** Called when the store names a holder from which this host receives no heartbeats. */
    readonly onSilentHolder: (holder: HostId) => void;
}

/** Milliseconds between reviews of the cells; a fraction of the time after which a lost holder is noticed. */
const reviewInterval = 150;
/** Milliseconds after which a holder from which this host has never received a heartbeat counts as down. */
const unknownHolderTimeout = 1_200;
/** Milliseconds of extra delay per rank before a host takes a cell, so that hosts try one after the other. */
const rankDelay = 350;
/**
 * Milliseconds without a proof of its lease and without an answer from the store after which a holder that is on time
 * offers the cell to a peer that reaches the store.
 */
const maxLeaseProofAge = 1_800;
/** Milliseconds that a late holder waits longer at most; its peers need the rest of its lease to take the cell. */
const maxDelayAllowance = 600;
/** As {@link maxLeaseProofAge}, though the store answers other calls: not those that could prove the lease. */
const maxLeaseProofAgeWithStore = 3_000;
/** Milliseconds since its last answer from the store within which a host counts as reaching it. */
const maxStoreContactAge = 1_500;
/** Milliseconds from reading the plan until the first review; other hosts read the plan meanwhile. */
const firstReviewDelay = 300;
/** As {@link rankDelay}, for a cell that was never held; longer, since hosts read the plan at different moments. */
const newCellRankDelay = 500;
/** Rank beyond which the delay no longer grows, since hosts that are lost still have a rank. */
const maxDelayedRank = 3;
/** Milliseconds between attempts to read the other hosts' rows. */
const retryInterval = 150;
/** Milliseconds between two offers of the same cell. */
const offerInterval = 700;
/** Milliseconds from a host's last move of a cell until it moves a cell to a better host. */
const moveInterval = 10_000;
/** Share of this host's cost of holding a cell below which another host's cost has to be for it to get the cell. */
const maxCostShare = 0.5;
/** Peers that are asked at a time whether they reach the store, before a cell is offered to one of them. */
const storeContactBatchSize = 6;

/** Version of a cell's row, with the monotonic time in ms at which this host first read it. */
interface ObservedRow {
    readonly version: number;
    readonly at: number;
}

/** Creates a manager that holds no cell. */
export const createCellManager = (options: CellManagerOptions): CellManager => {
    const {
        self,
        plan,
        regions,
        store,
        network,
        registry,
        claims,
        metrics,
        processDelay,
        storeHeardAt,
        logger,
        openCell,
        onChange,
        onSilentHolder,
    } = options;
    const probe = createHolderProbe({ network, logger });
    const startedAt = performance.now();
    const cells = new Map<CellId, WorkflowCell>();
    /** Cells with a review or takeover in progress; at most one at a time per cell. */
    const cellsInReview = new Set<CellId>();
    /** Monotonic time in ms at which each cell was last offered because the store did not answer. */
    const offeredAt = new Map<CellId, number>();
    const changes = createHolderChanges();
    /** The cells' rows as this host last read them. */
    const observedRows = new Map<CellId, ObservedRow>();
    let isStopping = false;
    /** Monotonic time in ms at which this host last took a cell or tried to return one. */
    let lastMoveAt = startedAt;

    /** Whether this host, or another one by its heartbeats, holds the cell. */
    const isHeld = (cell: CellId): boolean => cells.has(cell) || claims.fresh(cell) !== undefined;
    const take = async (cell: CellId, row: HolderRow, reason: string): Promise<boolean> => {
        const takenAt = performance.now();
        const taken = await takeCell(store, cell, row, self.id);
        if (taken.isErr) {
            logger.info({ cell, reason, error: taken.error.kind }, "cell not taken");
            return false;
        }
        const previous = row.holder?.host;
        const epoch = taken.value.holder?.epoch;
        changes.record(cell, epoch ?? 0);
        logger.info({
            cell,
            epoch,
            previous,
            reason,
            silentFor: silence(cell),
            heldCells: cells.size,
            processDelay: Math.round(processDelay.recent()),
        }, "cell taken");
        metrics.cellChanges.inc({ change: "taken" });
        const opened = openCell(cell, taken.value, takenAt, () => {
            if (cells.get(cell) === opened) {
                cells.delete(cell);
                metrics.cellChanges.inc({ change: "lost" });
                onChange();
            }
        });
        cells.set(cell, opened);
        lastMoveAt = performance.now();
        onChange();
        return true;
    };
    /** See `CellClaims.silence`; without a heartbeat, the time since the start of this host. */
    const silence = (cell: CellId): number => Math.round(claims.silence(cell) ?? performance.now() - startedAt);
    const locationOf = (cell: CellId, failureDomains: readonly FailureDomainId[]): CellLocation => ({
        cell,
        failureDomains,
        regions,
    });
    /** Number of cells that each host holds, by the heartbeats that this host has received. */
    const countHeld = (): ReadonlyMap<HostId, number> => {
        const counts = new Map<HostId, number>();
        claims.allFresh().forEach(({ host }) => counts.set(host.id, (counts.get(host.id) ?? 0) + 1));
        return counts.set(self.id, cells.size);
    };
    /** Number of peers in the regions of the cell that hold no cell, by the heartbeats that this host has received. */
    const countIdle = (cell: CellId): number => {
        const location = locationOf(cell, domainsOf(cell));
        const heldCounts = countHeld();
        return registry.peers().filter(peer => isInRegionOf(location, peer) && !heldCounts.has(peer.id)).length;
    };
    /** Ids of `hosts` in the order in which they should take the cell. */
    const rankCandidates = (
        cell: CellId,
        failureDomains: readonly FailureDomainId[],
        hosts: readonly EntryHostRecord[],
    ): readonly HostId[] => {
        const heldCounts = countHeld();
        return rankHosts(
            locationOf(cell, failureDomains),
            hosts.map(host => ({ ...host, heldCells: heldCounts.get(host.id) ?? 0 })),
        );
    };
    /** All hosts but the last known holder, in the order in which they should take the cell. */
    const successorsOf = (cell: CellId, failureDomains: readonly FailureDomainId[]): readonly HostId[] => {
        const holder = claims.last(cell)?.host.id;
        const hosts = [self, ...registry.peers()].filter(host => host.id !== holder);
        return rankCandidates(cell, failureDomains, hosts);
    };
    /** Peers in the order of `successorsOf`; the first ones get the most frequent heartbeats from the holder. */
    const watchersOf = (cell: CellId, failureDomains: readonly FailureDomainId[]): readonly EntryHostRecord[] => {
        const peers = new Map(registry.peers().map(peer => [peer.id, peer]));
        return successorsOf(cell, failureDomains).flatMap(id => peers.get(id) ?? []);
    };
    const rankOf = (cell: CellId, failureDomains: readonly FailureDomainId[]): number =>
        successorsOf(cell, failureDomains).indexOf(self.id);
    /** Milliseconds of silence after which the cell's holder counts as down. */
    const timeoutOf = (cell: CellId): number => claims.last(cell)?.timeout ?? unknownHolderTimeout;
    /** Milliseconds without a holder's heartbeat after which this host takes the cell. */
    const takeoverDelay = (cell: CellId, failureDomains: readonly FailureDomainId[]): number =>
        timeoutOf(cell)
        + (claims.last(cell)?.hasEnded === true ? 0 : changes.pause(cell))
        + Math.min(rankOf(cell, failureDomains), maxDelayedRank) * rankDelay;
    /** Whether the cell's row has been unchanged for so long that this host should take the cell. */
    const isTakeoverDue = (
        cell: CellId,
        failureDomains: readonly FailureDomainId[],
        { version, at }: ObservedRow,
    ): boolean => {
        const wait = version === absentVersion
            ? Math.min(rankOf(cell, failureDomains), maxDelayedRank) * newCellRankDelay
            : takeoverDelay(cell, failureDomains);
        return performance.now() - at >= wait;
    };
    /** Whether the cell's row should be read, to see whether this host should take the cell. */
    const isRowReadDue = (cell: CellId, failureDomains: readonly FailureDomainId[]): boolean => {
        if (claims.last(cell) !== undefined) {
            return silence(cell) >= takeoverDelay(cell, failureDomains);
        }
        const observed = observedRows.get(cell);
        return observed === undefined || isTakeoverDue(cell, failureDomains, observed);
    };
    /** Whether a holder from which this host receives no heartbeats is down, according to other hosts. */
    const isDown = async (
        cell: CellId,
        failureDomains: readonly FailureDomainId[],
        { epoch, host }: CellHolder,
    ): Promise<boolean> => {
        const peers = watchersOf(cell, failureDomains).filter(peer => peer.id !== host);
        const timeout = timeoutOf(cell);
        return await probe.isDown({ cell, epoch, timeout, peers }) && !isHeld(cell);
    };
    const reviewUnheld = async (cell: CellId, failureDomains: readonly FailureDomainId[]): Promise<void> => {
        if (!isRowReadDue(cell, failureDomains)) {
            return;
        }
        const row = await readHolderRow(store, cell);
        if (row.isErr || isHeld(cell)) {
            return;
        }
        const { holder, version } = row.value;
        changes.record(cell, holder?.epoch ?? 0);
        const lastObserved = observedRows.get(cell);
        const observed = lastObserved?.version === version ? lastObserved : { version, at: performance.now() };
        observedRows.set(cell, observed);
        // A host that held the cell before it restarted takes it again without delay.
        const isOwnRow = holder?.host === self.id;
        // The time since the last heartbeat applies to the row's holder only if that heartbeat had the same epoch.
        const isLastHeardHolder = holder !== undefined && claims.last(cell)?.summary.epoch === holder.epoch;
        const isDue = isOwnRow || isLastHeardHolder || isTakeoverDue(cell, failureDomains, observed);
        if (holder !== undefined && !isOwnRow) {
            onSilentHolder(holder.host as HostId);
        }
        if (isDue && (isOwnRow || holder === undefined || await isDown(cell, failureDomains, holder))) {
            await take(
                cell,
                row.value,
                isOwnRow ? "held before" : holder === undefined ? "never held" : "holder silent",
            );
        }
    };
    const reachesStore = async (host: EntryHostRecord): Promise<boolean> => {
        const answer = await network.call(host, "store-contact", {});
        return answer.isOk && answer.value < maxStoreContactAge;
    };
    /** Up to two of the first peers that reach the store; they are asked in batches. */
    const findPeersWithStore = async (peers: readonly EntryHostRecord[]): Promise<readonly EntryHostRecord[]> => {
        for (let start = 0; start < peers.length; start += storeContactBatchSize) {
            const batch = peers.slice(start, start + storeContactBatchSize);
            const answers = await Promise.all(batch.map(async peer => ({ peer, hasStore: await reachesStore(peer) })));
            const connected = answers.filter(({ hasStore }) => hasStore).map(({ peer }) => peer);
            if (connected.length > 0) {
                return connected.slice(0, 2);
            }
        }
        return [];
    };
    const domainsOf = (cell: CellId): readonly FailureDomainId[] =>
        plan()?.cells.find(planned => planned.cell === cell)?.failureDomains ?? [];
    /** Peers that reach the store and may take the cell, the preferred ones first. */
    const findReceivers = async (
        held: WorkflowCell,
        peers: readonly EntryHostRecord[] = registry.peers(),
    ): Promise<readonly EntryHostRecord[]> => {
        const order = rankCandidates(held.cell, domainsOf(held.cell), peers);
        return findPeersWithStore(
            peers.toSorted((left, right) => order.indexOf(left.id) - order.indexOf(right.id)),
        );
    };
    /** Offers a held cell to `receivers`, one after the other; resolves to whether one took it. */
    const offer = async (
        held: WorkflowCell,
        reason: string,
        receivers: readonly EntryHostRecord[],
    ): Promise<boolean> => {
        for (const peer of receivers) {
            const answer = await network.call(peer, "take-over", { cell: held.cell, epoch: held.epoch });
            if (answer.isOk && answer.value) {
                logger.info({
                    cell: held.cell,
                    epoch: held.epoch,
                    to: peer.id,
                    reason,
                    heldThere: countHeld().get(peer.id) ?? 0,
                    idleHosts: countIdle(held.cell),
                    provenAgo: Math.round(held.provenAgo()),
                    processDelay: Math.round(processDelay.recent()),
                }, "cell handed over");
                metrics.cellChanges.inc({ change: "handed-over" });
                release(held);
                return true;
            }
        }
        return false;
    };
    const release = (held: WorkflowCell): void => {
        held.stop();
        if (cells.get(held.cell) === held) {
            cells.delete(held.cell);
            onChange();
        }
    };
    /** Peers that should hold the cell instead of this host: they are nearer to its workers, or have far more CPU for it. */
    const findBetterHosts = (held: WorkflowCell): readonly EntryHostRecord[] => {
        const mayMove = performance.now() - lastMoveAt > moveInterval
            && held.isActive()
            && held.provenAgo() < maxStoreContactAge;
        if (!mayMove) {
            return [];
        }
        const failureDomains = domainsOf(held.cell);
        const location = locationOf(held.cell, failureDomains);
        const heldCounts = countHeld();
        const ownCost = holdingCost(location, self, cells.size);
        const isLocal = ({ failureDomain }: EntryHostRecord): boolean => failureDomains.includes(failureDomain);
        return registry.peers().filter(peer => {
            if (isInRegionOf(location, peer) !== isInRegionOf(location, self)) {
                return isInRegionOf(location, peer);
            }
            const cost = holdingCost(location, peer, (heldCounts.get(peer.id) ?? 0) + 1);
            return cost < ownCost * maxCostShare || isLocal(peer) && !isLocal(self) && cost <= ownCost;
        });
    };
    /**
     * Whether the store does not answer this host. An answer is read late by the delay of this process, and the next
     * call is sent late by it too.
     */
    const isStoreSilent = (held: WorkflowCell): boolean => {
        const allowance = Math.min(2 * processDelay.recent(), maxDelayAllowance);
        const answeredAgo = Math.min(held.provenAgo(), performance.now() - storeHeardAt());
        return answeredAgo > maxLeaseProofAge + allowance || held.provenAgo() > maxLeaseProofAgeWithStore;
    };
    const reviewHeld = async (held: WorkflowCell): Promise<void> => {
        const claim = claims.fresh(held.cell);
        if (held.isLost() || claim !== undefined && claim.summary.epoch > held.epoch) {
            release(held);
            return;
        }
        const isDue = performance.now() - (offeredAt.get(held.cell) ?? -Infinity) > offerInterval;
        if (isDue && isStoreSilent(held)) {
            offeredAt.set(held.cell, performance.now());
            const receivers = await findReceivers(held);
            // After an outage, calls of that time may still wait although the store answers again.
            if (receivers.length > 0 && !await held.proveLease()) {
                await offer(held, "the store does not answer this host", receivers);
            }
            return;
        }
        const targets = findBetterHosts(held);
        if (targets.length > 0) {
            lastMoveAt = performance.now();
            await offer(held, "another host is nearer or has more CPU", await findReceivers(held, targets));
        }
    };
    const review = async (
        { cell, failureDomains }: CellPlan["cells"][number],
    ): Promise<void> => {
        const claim = claims.last(cell);
        if (claim !== undefined) {
            changes.record(cell, claim.summary.epoch);
        }
        if (cellsInReview.has(cell)) {
            return;
        }
        cellsInReview.add(cell);
        try {
            const held = cells.get(cell);
            if (held !== undefined) {
                await reviewHeld(held);
            }
            else if (!isStopping && claims.fresh(cell) === undefined) {
                await reviewUnheld(cell, failureDomains);
            }
        }
        finally {
            cellsInReview.delete(cell);
        }
    };
    return {
        held: cell => cells.get(cell),
        successors: cell => successorsOf(cell, domainsOf(cell)),
        hasSuccessor: (cell, epoch) => probe.hasSuccessor({ cell, epoch, peers: watchersOf(cell, domainsOf(cell)) }),
        allHeld: () => [...cells.values()],
        releaseSuperseded: host => {
            for (const held of cells.values()) {
                const claim = claims.fresh(held.cell);
                if (claim !== undefined && claim.host.id === host.id && claim.summary.epoch > held.epoch) {
                    release(held);
                }
            }
        },
        acceptOffer: async (cell, epoch) => {
            if (isStopping || cellsInReview.has(cell)) {
                return false;
            }
            cellsInReview.add(cell);
            try {
                const row = await readHolderRow(store, cell);
                return row.isOk && row.value.holder?.epoch === epoch && await take(cell, row.value, "offered");
            }
            finally {
                cellsInReview.delete(cell);
            }
        },
        run: async signal => {
            await sleep(firstReviewDelay, signal);
            // A host that does not know the others yet would rank first for all cells.
            while (!signal.aborted && !await registry.refresh()) {
                await sleep(retryInterval, signal);
            }
            while (!signal.aborted) {
                plan()?.cells.forEach(planned => void review(planned));
                await processDelay.sleep(reviewInterval, signal);
            }
        },
        handOverAll: async () => {
            isStopping = true;
            await Promise.all(
                [...cells.values()].map(async held => offer(held, "this host stops", await findReceivers(held))),
            );
        },
    };
};
