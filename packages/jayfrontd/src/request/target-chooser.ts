import type { ByteBudget } from "@jayfront/policy";
import type { CellId, Environment, Host } from "@jayfront/world";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

import type { CellManager } from "../cell/cell-manager.js";
import type { Membership } from "../peer/membership.js";

/** Where a request can go next. */
export interface Target {
    readonly kind: "held" | "peer" | "domain";
    readonly cell: CellId | undefined;
    readonly host: Host | undefined;
    /** Free slots less what waits and what this host has sent since. */
    readonly availableSlots: number;
}

/** Chooses where requests go. */
export interface TargetChooser {
    /** The roomier of two targets drawn at random; another failure domain only where this one has no room. */
    readonly choose: (hops: number, tried: ReadonlySet<CellId | undefined>) => Target | undefined;
    /** Notes that a request is sent to the cell of another host. */
    readonly recordSent: (cell: CellId) => void;
    readonly isOtherRegion: (host: Host) => boolean;
}

/** Options of {@link createTargetChooser}. */
export interface TargetChooserOptions {
    readonly self: Host;
    readonly environment: () => Environment | undefined;
    readonly membership: Membership;
    readonly cellManager: CellManager;
    /** Bytes that requests to other regions may take. */
    readonly regionBudget: ByteBudget;
    readonly random: RandomGenerator;
}

/** Creates a chooser that has sent nothing yet. */
export const createTargetChooser = (options: TargetChooserOptions): TargetChooser => {
    const { self, environment, membership, cellManager: warden, regionBudget, random } = options;
    const sentSince = new Map<CellId, { at: number; count: number; }>();
    /** Requests sent to the cell that its holder's latest heartbeat can't have counted. */
    const sentTo = (cell: CellId, heartbeatAt: number): number => {
        const sent = sentSince.get(cell);
        return sent === undefined || sent.at < heartbeatAt ? 0 : sent.count;
    };
    const noteSent = (cell: CellId): void => {
        const heartbeatAt = membership.claimant(cell)?.receivedAt ?? 0;
        const sent = sentSince.get(cell);
        const count = sent === undefined || sent.at < heartbeatAt ? 0 : sent.count;
        sentSince.set(cell, { at: performance.now(), count: count + 1 });
    };
    const targetOf = (cell: CellId): Target | undefined => {
        const held = warden.heldCell(cell);
        if (held !== undefined) {
            return {
                kind: "held",
                cell,
                host: undefined,
                availableSlots: held.dispatcher.freeSlots() - held.dispatcher.queued(),
            };
        }
        const claimant = membership.claimant(cell);
        if (claimant === undefined) {
            return undefined;
        }
        const room = claimant.claim.freeSlots - claimant.claim.queued - sentTo(cell, claimant.receivedAt);
        return { kind: "peer", cell, host: claimant.host, availableSlots: room };
    };
    const regionOf = (domain: string): string | undefined => environment()?.document.failureDomains[domain]?.region;
    const isOtherRegion = (host: Host): boolean => regionOf(host.failureDomain) !== regionOf(self.failureDomain);
    /** One host of another failure domain, of this region where there is one; the link to other regions is narrow. */
    const domainTargets = (): readonly Target[] => {
        const others = membership.hosts().filter(host => host.failureDomain !== self.failureDomain);
        const near = others.filter(host => !isOtherRegion(host));
        const candidates = near.length > 0 ? near : regionBudget.hasBalance() ? others : [];
        const host = candidates[uniformInt(random, 0, Math.max(0, candidates.length - 1))];
        return host === undefined ? [] : [{ kind: "domain", cell: undefined, host, availableSlots: 0 }];
    };
    /** The roomier of two targets drawn at random; another failure domain only where this one has no room. */
    const chooseTarget = (hops: number, tried: ReadonlySet<CellId | undefined>): Target | undefined => {
        const local = warden.cells()
            .flatMap(cell => targetOf(cell) ?? [])
            .filter(target => !tried.has(target.cell) && (hops > 0 || target.kind === "held"));
        const roomy = local.filter(target => target.availableSlots > 0);
        const remote = hops > 1 && roomy.length === 0 && !tried.has(undefined) ? domainTargets() : [];
        const pool = roomy.length > 0 ? roomy : [...remote, ...local];
        const draw = (): Target | undefined => pool[uniformInt(random, 0, Math.max(0, pool.length - 1))];
        const [first, second] = [draw(), draw()];
        if (first === undefined || second === undefined) {
            return undefined;
        }
        return first.availableSlots >= second.availableSlots ? first : second;
    };
    return { choose: chooseTarget, recordSent: noteSent, isOtherRegion };
};
