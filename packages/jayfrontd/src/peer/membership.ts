import type { LiveList } from "@jayfront/platform";
import type { CellId, Host, HostId, Worker, WorkerId } from "@jayfront/world";
import { rendezvousRank, sleep } from "@jayfront/world";
import type { Logger } from "pino";

import type { Settings } from "../settings.js";
import type { CellClaim, Heartbeat } from "./peer-message.js";
import type { PeerNetwork } from "./peer-network.js";

/** A peer as its latest heartbeat shows it. */
export interface Peer {
    readonly heartbeat: Heartbeat;
    /** Monotonic milliseconds. */
    readonly receivedAt: number;
}

/** A cell's holder or caretaker, as its heartbeats claim. */
export interface Claimant {
    readonly host: Host;
    readonly claim: CellClaim;
    /** Monotonic milliseconds of the heartbeat. */
    readonly receivedAt: number;
}

/** An environment version that a peer has. */
export interface PeerEnvironment {
    readonly version: number;
    readonly host: Host;
    /** Monotonic milliseconds at which the store confirmed it; undefined where it never did. */
    readonly confirmedAt: number | undefined;
}

/** What this host knows of the other machines: live list and heartbeats combined. */
export interface Membership {
    /** Announces this host, reads the live list and sends heartbeats until `signal` aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
    readonly receive: (heartbeat: Heartbeat) => void;
    /** Peers of the same failure domain whose heartbeats are fresh. */
    readonly freshLocalPeers: () => readonly Peer[];
    /** All hosts that the live list or a heartbeat has named, this one included. */
    readonly hosts: () => readonly Host[];
    /** Who claims `cell` by a fresh heartbeat; a holder goes before a caretaker, a higher epoch before a lower. */
    readonly claimant: (cell: CellId) => Claimant | undefined;
    /** Workers of this failure domain as listed last. */
    readonly workers: () => readonly Worker[];
    /** Workers of all failure domains as listed last. */
    readonly allWorkers: () => readonly Worker[];
    /** Monotonic milliseconds since which the list has not named `worker`; undefined while it does. */
    readonly unlistedSince: (worker: WorkerId) => number | undefined;
    /** Highest environment version that a fresh heartbeat shows, and who confirmed it last. */
    readonly newestEnvironment: () => PeerEnvironment | undefined;
}

/** Options of {@link createMembership}. */
export interface MembershipOptions {
    readonly self: Host;
    readonly liveList: LiveList;
    readonly network: PeerNetwork;
    readonly timing: Settings["timing"];
    readonly logger: Logger;
    /** What this host says of itself now. */
    readonly createHeartbeat: () => Heartbeat;
    /** Called when the live list shows something new. */
    readonly onChange: () => void;
}

/** Hosts of each other failure domain that get heartbeats. */
const remotePeers = 2;
/** Every so many reads the list is read for all failure domains. */
const fullReadEvery = 30;

/** Creates a membership that knows only this host. */
export const createMembership = (options: MembershipOptions): Membership => {
    const { self, liveList, network, timing, logger, createHeartbeat: describe, onChange } = options;
    const peers = new Map<HostId, Peer>();
    const listed = new Map<HostId, Host>();
    const linked = new Set<HostId>();
    const unlisted = new Map<WorkerId, number>();
    let workers: readonly Worker[] = [];
    let allWorkers: readonly Worker[] = [];
    let readsOfList = 0;

    const isFresh = (peer: Peer): boolean => {
        const isLocal = peer.heartbeat.host.failureDomain === self.failureDomain;
        const timeout = isLocal ? timing.hostTimeout : timing.remoteHeartbeat * 3;
        return performance.now() - peer.receivedAt < timeout;
    };
    const freshPeers = (): readonly Peer[] => [...peers.values()].filter(isFresh);
    const hosts = (): readonly Host[] => {
        const known = new Map(listed);
        for (const peer of freshPeers()) {
            known.set(peer.heartbeat.host.id, peer.heartbeat.host);
        }
        known.set(self.id, self);
        return [...known.values()];
    };
    /** Peers that get this host's heartbeats: all of its failure domain, a few of each other one. */
    const heartbeatTargets = (): readonly Host[] => {
        const others = hosts().filter(host => host.id !== self.id);
        const local = others.filter(host => host.failureDomain === self.failureDomain);
        const remoteDomains = new Set(
            others.map(host => host.failureDomain).filter(name => name !== self.failureDomain),
        );
        const remote = [...remoteDomains].flatMap(domain => {
            const candidates = others.filter(host => host.failureDomain === domain);
            const chosen = rendezvousRank(self.id, candidates.map(host => host.id)).slice(0, remotePeers);
            return candidates.filter(host => chosen.includes(host.id));
        });
        return [...local, ...remote];
    };
    const runPeer = async (host: Host, signal: AbortSignal): Promise<void> => {
        const interval = host.failureDomain === self.failureDomain ? timing.heartbeat : timing.remoteHeartbeat;
        const isTarget = (): boolean => heartbeatTargets().some(target => target.id === host.id);
        while (!signal.aborted && isTarget()) {
            const current = listed.get(host.id) ?? peers.get(host.id)?.heartbeat.host ?? host;
            await Promise.all([network.call(current, describe()), sleep(interval, signal)]);
        }
        linked.delete(host.id);
    };
    const linkPeers = (signal: AbortSignal): void => {
        for (const host of heartbeatTargets()) {
            if (!linked.has(host.id)) {
                linked.add(host.id);
                void runPeer(host, signal);
            }
        }
    };
    const noteWorkers = (next: readonly Worker[]): void => {
        const named = new Set(next.map(worker => worker.id));
        for (const worker of workers) {
            if (!named.has(worker.id) && !unlisted.has(worker.id)) {
                unlisted.set(worker.id, performance.now());
            }
        }
        for (const id of named) {
            unlisted.delete(id);
        }
        workers = next;
    };
    const readLiveList = async (): Promise<void> => {
        // Other failure domains change little for this host, so that their long lists are read seldom.
        const isFullRead = readsOfList % fullReadEvery === 0;
        const machines = await liveList.read(isFullRead ? undefined : self.failureDomain);
        if (machines.isErr) {
            logger.debug({ error: machines.error }, "the live list can't be read");
            return;
        }
        readsOfList += 1;
        if (isFullRead) {
            allWorkers = machines.value.workers;
        }
        listed.clear();
        for (const host of machines.value.hosts) {
            listed.set(host.id, host);
        }
        noteWorkers(machines.value.workers.filter(worker => worker.failureDomain === self.failureDomain));
        onChange();
    };
    return {
        run: async signal => {
            while (!signal.aborted) {
                await Promise.all([liveList.announce(self), readLiveList()]);
                linkPeers(signal);
                await sleep(timing.liveListPoll, signal);
            }
        },
        receive: heartbeat => {
            const isNew = !peers.has(heartbeat.host.id);
            peers.set(heartbeat.host.id, { heartbeat, receivedAt: performance.now() });
            if (isNew) {
                onChange();
            }
        },
        freshLocalPeers: () => freshPeers().filter(peer => peer.heartbeat.host.failureDomain === self.failureDomain),
        hosts,
        claimant: cell => {
            const claimants = freshPeers().flatMap(peer =>
                peer.heartbeat.cells
                    .filter(claim => claim.cell === cell)
                    .map(claim => ({ host: peer.heartbeat.host, claim, receivedAt: peer.receivedAt }))
            );
            const weigh = (entry: Claimant): number => entry.claim.epoch + (entry.claim.role === "holder" ? 0.5 : 0);
            return claimants.sort((left, right) => weigh(right) - weigh(left))[0];
        },
        workers: () => workers,
        allWorkers: () => allWorkers,
        unlistedSince: worker => {
            const isUnknown = readsOfList > 0 && workers.every(listedWorker => listedWorker.id !== worker);
            if (isUnknown && !unlisted.has(worker)) {
                unlisted.set(worker, performance.now());
            }
            return unlisted.get(worker);
        },
        newestEnvironment: () => {
            const [newest] = freshPeers()
                .map(({ heartbeat, receivedAt }) => ({
                    version: heartbeat.environmentVersion,
                    host: heartbeat.host,
                    confirmedAt: heartbeat.environmentAge === undefined
                        ? undefined
                        : receivedAt - heartbeat.environmentAge,
                }))
                .sort((left, right) =>
                    right.version - left.version || (right.confirmedAt ?? 0) - (left.confirmedAt ?? 0)
                );
            return newest;
        },
    };
};
