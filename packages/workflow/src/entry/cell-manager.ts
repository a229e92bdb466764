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
import type { WorkflowMetrics } from "../workflow-metrics.js";
import type { CellClaims } from "./cell-claims.js";
import type { CellPlan } from "./cell-plan.js";
import { createHolderProbe } from "./holder-probe.js";
import { rankHosts } from "./rank-hosts.js";

/** Decides which cells this host holds: takes those without holder and gives up those that others serve better. */
export interface CellManager {
    readonly held: (cell: CellId) => WorkflowCell | undefined;
    readonly allHeld: () => readonly WorkflowCell[];
    /** Takes a cell that its holder offers; true once the row names this host. */
    readonly acceptOffer: (cell: CellId, epoch: number) => Promise<boolean>;
    /** A peer claims cells; those held here under a lower epoch are given up. */
    readonly releaseSuperseded: (host: EntryHostRecord) => void;
    readonly run: (signal: AbortSignal) => Promise<void>;
    /** Hands all cells to other hosts, where there are any. */
    readonly handOverAll: () => Promise<void>;
    /** Hosts that would take a cell if its holder were lost, the first ones first. */
    readonly successors: (cell: CellId) => readonly HostId[];
    /** Whether other hosts hear a holder of the cell with a later epoch. */
    readonly hasSuccessor: (cell: CellId, epoch: number) => Promise<boolean>;
}

/** Options of {@link createCellManager}. */
export interface CellManagerOptions {
    readonly self: EntryHostRecord;
    /** How workers are divided into cells; undefined until it has been read. */
    readonly plan: () => CellPlan | undefined;
    readonly store: StateStore;
    readonly network: WorkflowNetwork;
    readonly registry: HostRegistry;
    readonly claims: CellClaims;
    readonly metrics: WorkflowMetrics;
    readonly logger: Logger;
    readonly openCell: (
        cell: CellId,
        row: HolderRow,
        takenAt: number,
        onLost: (reason: string) => void,
    ) => WorkflowCell;
    /** Called when the set of held cells has changed. */
    readonly onChange: () => void;
    /** The store names a holder of whom this host hears nothing. */
    readonly onUnheard: (holder: HostId) => void;
}

/** Milliseconds between reviews; a fraction of the time in which a dead holder is noticed. */
const reviewInterval = 150;
/** Milliseconds without heartbeat after which a holder counts as down that this host has never heard. */
const unheardTimeout = 1_200;
/** Milliseconds that each later host in the order waits longer, so that one after the other tries. */
const rankDelay = 350;
/** Milliseconds without proof of a lease after which its holder asks whether a peer still reaches the store. */
const doubtfulLease = 1_800;
/** Milliseconds since its last answer from the store within which a peer counts as reaching it. */
const storeContactAge = 1_500;
/** Milliseconds from reading the plan until the first look at cells; other hosts read the plan meanwhile. */
const firstLookWait = 300;
/** Like {@link rankDelay}, for a cell that nobody ever held: hosts don't read the plan at the same moment. */
const firstRankDelay = 500;
/** Rank from which on hosts wait for a cell no longer than the one before them: hosts that are gone still count. */
const lastRank = 3;
/** Milliseconds between tries to read the other hosts' rows. */
const retryInterval = 150;
/** Milliseconds between two offers of one cell. */
const offerInterval = 700;
/** Milliseconds from taking or returning a cell until a host returns one to the cell's failure domain. */
const returnInterval = 10_000;
/** Peers that are asked whether they reach the store before a cell is offered. */
const offeredPeers = 6;

/** A version of a row, with the time at which this host first saw it. */
interface SeenRow {
    readonly version: number;
    readonly at: number;
}

/** Creates a keeper that holds no cell. */
export const createCellManager = (options: CellManagerOptions): CellManager => {
    const { self, plan, store, network, registry, claims, metrics, logger, openCell, onChange, onUnheard } = options;
    const probe = createHolderProbe({ network, logger });
    const startedAt = performance.now();
    const cells = new Map<CellId, WorkflowCell>();
    const taking = new Set<CellId>();
    const offeredAt = new Map<CellId, number>();
    /** Rows as this host last saw them. */
    const seenRows = new Map<CellId, SeenRow>();
    let isStopping = false;
    /** Steady ms at which this host last took a cell or tried to return one. */
    let movedAt = startedAt;

    const isTaken = (cell: CellId): boolean => cells.has(cell) || claims.fresh(cell) !== undefined;
    const take = async (cell: CellId, row: HolderRow, reason: string): Promise<boolean> => {
        const takenAt = performance.now();
        const taken = await takeCell(store, cell, row, self.id);
        if (taken.isErr) {
            logger.info({ cell, reason, error: taken.error.kind }, "cell not taken");
            return false;
        }
        const previous = row.holder?.host;
        const epoch = taken.value.holder?.epoch;
        logger.info({ cell, epoch, previous, reason, silentFor: silence(cell) }, "cell taken");
        metrics.cellChanges.inc({ change: "taken" });
        const opened = openCell(cell, taken.value, takenAt, () => {
            if (cells.get(cell) === opened) {
                cells.delete(cell);
                metrics.cellChanges.inc({ change: "lost" });
                onChange();
            }
        });
        cells.set(cell, opened);
        movedAt = performance.now();
        onChange();
        return true;
    };
    const silence = (cell: CellId): number => Math.round(performance.now() - (claims.last(cell)?.heardAt ?? startedAt));
    /** Hosts in the order in which they should take a cell, this host among them. */
    const orderOf = (
        cell: CellId,
        failureDomains: readonly FailureDomainId[],
        hosts: readonly EntryHostRecord[],
    ): readonly HostId[] => {
        const heldBy = new Map<HostId, number>();
        claims.allFresh().forEach(({ host }) => heldBy.set(host.id, (heldBy.get(host.id) ?? 0) + 1));
        heldBy.set(self.id, cells.size);
        return rankHosts(cell, failureDomains, hosts.map(host => ({ ...host, heldCells: heldBy.get(host.id) ?? 0 })));
    };
    /** All hosts but the holder that was last heard, in the order in which they should take the cell. */
    const successorsOf = (cell: CellId, failureDomains: readonly FailureDomainId[]): readonly HostId[] => {
        const holder = claims.last(cell)?.host.id;
        const hosts = [self, ...registry.peers()].filter(host => host.id !== holder);
        return orderOf(cell, failureDomains, hosts);
    };
    /** Peers in that order; the first ones hear most of the holder. */
    const watchersOf = (cell: CellId, failureDomains: readonly FailureDomainId[]): readonly EntryHostRecord[] => {
        const peers = new Map(registry.peers().map(peer => [peer.id, peer]));
        return successorsOf(cell, failureDomains).flatMap(id => peers.get(id) ?? []);
    };
    const rankOf = (cell: CellId, failureDomains: readonly FailureDomainId[]): number =>
        successorsOf(cell, failureDomains).indexOf(self.id);
    /** Time without holder after which this host takes the cell. */
    const patience = (cell: CellId, failureDomains: readonly FailureDomainId[]): number =>
        (claims.last(cell)?.timeout ?? unheardTimeout)
        + Math.min(rankOf(cell, failureDomains), lastRank) * rankDelay;
    /** Whether the row, which this host has seen unchanged, has stood for so long that this host takes the cell. */
    const isRowDue = (cell: CellId, failureDomains: readonly FailureDomainId[], { version, at }: SeenRow): boolean => {
        const wait = version === absentVersion
            ? Math.min(rankOf(cell, failureDomains), lastRank) * firstRankDelay
            : patience(cell, failureDomains);
        return performance.now() - at >= wait;
    };
    const isLookDue = (cell: CellId, failureDomains: readonly FailureDomainId[]): boolean => {
        if (claims.last(cell) !== undefined) {
            return silence(cell) >= patience(cell, failureDomains);
        }
        const seen = seenRows.get(cell);
        return seen === undefined || isRowDue(cell, failureDomains, seen);
    };
    /** Whether a holder is down, of whom this host hears nothing, as far as other hosts can tell. */
    const isDown = async (
        cell: CellId,
        failureDomains: readonly FailureDomainId[],
        { epoch, host }: CellHolder,
    ): Promise<boolean> => {
        const peers = watchersOf(cell, failureDomains).filter(peer => peer.id !== host);
        return await probe.isDown({ cell, epoch, peers }) && !isTaken(cell);
    };
    const reviewFree = async (cell: CellId, failureDomains: readonly FailureDomainId[]): Promise<void> => {
        if (!isLookDue(cell, failureDomains)) {
            return;
        }
        const row = await readHolderRow(store, cell);
        if (row.isErr || isTaken(cell)) {
            return;
        }
        const { holder, version } = row.value;
        const known = seenRows.get(cell);
        const seen = known?.version === version ? known : { version, at: performance.now() };
        seenRows.set(cell, seen);
        // A holder's own next life need not wait for silence.
        const isOwn = holder?.host === self.id;
        // The silence that was waited for is that of the row's holder only where it was heard under this epoch.
        const isHeardHolder = holder !== undefined && claims.last(cell)?.summary.epoch === holder.epoch;
        const isDue = isOwn || isHeardHolder || isRowDue(cell, failureDomains, seen);
        if (holder !== undefined && !isOwn) {
            onUnheard(holder.host as HostId);
        }
        if (isDue && (isOwn || holder === undefined || await isDown(cell, failureDomains, holder))) {
            await take(cell, row.value, isOwn ? "held before" : holder === undefined ? "never held" : "holder silent");
        }
    };
    const reachesStore = async (host: EntryHostRecord): Promise<boolean> => {
        const answer = await network.call(host, "store-contact", {});
        return answer.isOk && answer.value < storeContactAge;
    };
    /** The first two of the peers that reach the store, asking a few at a time. */
    const ableOf = async (peers: readonly EntryHostRecord[]): Promise<readonly EntryHostRecord[]> => {
        for (let from = 0; from < peers.length; from += offeredPeers) {
            const asked = peers.slice(from, from + offeredPeers);
            const answers = await Promise.all(asked.map(async peer => ({ peer, isAble: await reachesStore(peer) })));
            const able = answers.filter(({ isAble }) => isAble).map(({ peer }) => peer);
            if (able.length > 0) {
                return able.slice(0, 2);
            }
        }
        return [];
    };
    const domainsOf = (cell: CellId): readonly FailureDomainId[] =>
        plan()?.cells.find(planned => planned.cell === cell)?.failureDomains ?? [];
    const offer = async (
        held: WorkflowCell,
        reason: string,
        peers: readonly EntryHostRecord[] = registry.peers(),
    ): Promise<boolean> => {
        const order = orderOf(held.cell, domainsOf(held.cell), peers);
        const ordered = peers.toSorted((left, right) => order.indexOf(left.id) - order.indexOf(right.id));
        for (const peer of await ableOf(ordered)) {
            const answer = await network.call(peer, "take-over", { cell: held.cell, epoch: held.epoch });
            if (answer.isOk && answer.value) {
                logger.info({ cell: held.cell, epoch: held.epoch, to: peer.id, reason }, "cell handed over");
                metrics.cellChanges.inc({ change: "handed-over" });
                drop(held);
                return true;
            }
        }
        return false;
    };
    const drop = (held: WorkflowCell): void => {
        held.stop();
        if (cells.get(held.cell) === held) {
            cells.delete(held.cell);
            onChange();
        }
    };
    /** Hosts of the cell's failure domains, where this host is of none of them and may return the cell now. */
    const returnTargets = (held: WorkflowCell): readonly EntryHostRecord[] => {
        const failureDomains = domainsOf(held.cell);
        const isCalm = performance.now() - movedAt > returnInterval
            && held.isActive()
            && held.provenAgo() < storeContactAge;
        return isCalm && !failureDomains.includes(self.failureDomain)
            ? registry.peers().filter(peer => failureDomains.includes(peer.failureDomain))
            : [];
    };
    const reviewHeld = async (held: WorkflowCell): Promise<void> => {
        const claim = claims.fresh(held.cell);
        if (held.isLost() || claim !== undefined && claim.summary.epoch > held.epoch) {
            drop(held);
            return;
        }
        const isDue = performance.now() - (offeredAt.get(held.cell) ?? -Infinity) > offerInterval;
        if (held.provenAgo() > doubtfulLease && isDue) {
            offeredAt.set(held.cell, performance.now());
            await offer(held, "the store does not answer this host");
            return;
        }
        // A cell only ever moves into its failure domains for this reason, so that it can't move back and forth.
        const targets = returnTargets(held);
        if (targets.length > 0) {
            movedAt = performance.now();
            await offer(held, "its failure domain has hosts again", targets);
        }
    };
    const reviewOnce = async (
        { cell, failureDomains }: CellPlan["cells"][number],
    ): Promise<void> => {
        if (taking.has(cell)) {
            return;
        }
        taking.add(cell);
        try {
            const held = cells.get(cell);
            if (held !== undefined) {
                await reviewHeld(held);
            }
            else if (!isStopping && claims.fresh(cell) === undefined) {
                await reviewFree(cell, failureDomains);
            }
        }
        finally {
            taking.delete(cell);
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
                    drop(held);
                }
            }
        },
        acceptOffer: async (cell, epoch) => {
            if (isStopping || taking.has(cell)) {
                return false;
            }
            taking.add(cell);
            try {
                const row = await readHolderRow(store, cell);
                return row.isOk && row.value.holder?.epoch === epoch && await take(cell, row.value, "offered");
            }
            finally {
                taking.delete(cell);
            }
        },
        run: async signal => {
            await sleep(firstLookWait, signal);
            // A host that doesn't know the others would rank first for all cells.
            while (!signal.aborted && !await registry.refresh()) {
                await sleep(retryInterval, signal);
            }
            while (!signal.aborted) {
                plan()?.cells.forEach(planned => void reviewOnce(planned));
                await sleep(reviewInterval, signal);
            }
        },
        handOverAll: async () => {
            isStopping = true;
            await Promise.all([...cells.values()].map(held => offer(held, "this host stops")));
        },
    };
};
