import type { ByteBudget } from "@jayfront/policy";
import type { CellId, Environment, Host } from "@jayfront/world";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

import type { CellManager } from "../cell/cell-manager.js";
import type { Membership } from "../peer/membership.js";

/** A place that a request can be sent to: a cell held here, a cell of a peer, or another failure domain. */
export interface Target {
    readonly kind: "held" | "peer" | "domain";
    /** Undefined for another failure domain. */
    readonly cell: CellId | undefined;
    /** Undefined for a cell that this host holds. */
    readonly host: Host | undefined;
    /** Free slots minus queued requests and minus those that this host has sent since the holder's latest heartbeat. */
    readonly availableSlots: number;
}

/** Chooses the targets of requests. */
export interface TargetChooser {
    /**
     * Draws two targets at random and returns the one with more available slots. Another failure domain is a candidate
     * only if no cell of this one has available slots. Undefined if no target is left.
     */
    readonly choose: (hops: number, tried: ReadonlySet<CellId | undefined>) => Target | undefined;
    /** Records that a request is sent to a cell of another host. */
    readonly recordSent: (cell: CellId) => void;
    /** Whether `host` is in another region than this host. */
    readonly isOtherRegion: (host: Host) => boolean;
}

/** Options of {@link createTargetChooser}. */
export interface TargetChooserOptions {
    readonly self: Host;
    readonly environment: () => Environment | undefined;
    readonly membership: Membership;
    readonly cellManager: CellManager;
    /** Bounds the bytes that requests to other regions may use. */
    readonly regionBudget: ByteBudget;
    readonly random: RandomGenerator;
}

/** Creates a chooser that has no sent requests on record. */
export const createTargetChooser = (options: TargetChooserOptions): TargetChooser => {
    const { self, environment, membership, cellManager, regionBudget, random } = options;
    const sentByCell = new Map<CellId, { lastSentAt: number; count: number; }>();
    /** Number of requests sent to the cell that its holder's latest heartbeat does not include. */
    const sentSinceHeartbeat = (cell: CellId, heartbeatAt: number): number => {
        const sent = sentByCell.get(cell);
        return sent === undefined || sent.lastSentAt < heartbeatAt ? 0 : sent.count;
    };
    const recordSent = (cell: CellId): void => {
        const heartbeatAt = membership.claimant(cell)?.receivedAt ?? 0;
        const sent = sentByCell.get(cell);
        const count = sent === undefined || sent.lastSentAt < heartbeatAt ? 0 : sent.count;
        sentByCell.set(cell, { lastSentAt: performance.now(), count: count + 1 });
    };
    const targetOf = (cell: CellId): Target | undefined => {
        const heldCell = cellManager.heldCell(cell);
        if (heldCell !== undefined) {
            return {
                kind: "held",
                cell,
                host: undefined,
                availableSlots: heldCell.dispatcher.freeSlots() - heldCell.dispatcher.queued(),
            };
        }
        const claimant = membership.claimant(cell);
        if (claimant === undefined) {
            return undefined;
        }
        const availableSlots = claimant.claim.freeSlots - claimant.claim.queued
            - sentSinceHeartbeat(cell, claimant.receivedAt);
        return { kind: "peer", cell, host: claimant.host, availableSlots };
    };
    const regionOf = (domain: string): string | undefined => environment()?.document.failureDomains[domain]?.region;
    const isOtherRegion = (host: Host): boolean => regionOf(host.failureDomain) !== regionOf(self.failureDomain);
    /** A random host of another failure domain, in this region if possible; bandwidth between regions is scarce. */
    const domainTargets = (): readonly Target[] => {
        const others = membership.hosts().filter(host => host.failureDomain !== self.failureDomain);
        const sameRegion = others.filter(host => !isOtherRegion(host));
        const candidates = sameRegion.length > 0 ? sameRegion : regionBudget.hasBalance() ? others : [];
        const host = candidates[uniformInt(random, 0, Math.max(0, candidates.length - 1))];
        return host === undefined ? [] : [{ kind: "domain", cell: undefined, host, availableSlots: 0 }];
    };
    const chooseTarget = (hops: number, tried: ReadonlySet<CellId | undefined>): Target | undefined => {
        const local = cellManager.cells()
            .flatMap(cell => targetOf(cell) ?? [])
            .filter(target => !tried.has(target.cell) && (hops > 0 || target.kind === "held"));
        const withFreeSlots = local.filter(target => target.availableSlots > 0);
        const remote = hops > 1 && withFreeSlots.length === 0 && !tried.has(undefined) ? domainTargets() : [];
        const pool = withFreeSlots.length > 0 ? withFreeSlots : [...remote, ...local];
        const draw = (): Target | undefined => pool[uniformInt(random, 0, Math.max(0, pool.length - 1))];
        const [first, second] = [draw(), draw()];
        if (first === undefined || second === undefined) {
            return undefined;
        }
        return first.availableSlots >= second.availableSlots ? first : second;
    };
    return { choose: chooseTarget, recordSent, isOtherRegion };
};
