import type { LiveList } from "@jayfront/platform";
import type { CellId, Host, HostId, Worker, WorkerId } from "@jayfront/world";
import { rendezvousRank, sleep } from "@jayfront/world";
import type { Logger } from "pino";

import type { Settings } from "../settings.js";
import type { CellClaim, Heartbeat } from "./peer-message.js";
import type { PeerNetwork } from "./peer-network.js";

/** Latest heartbeat of a peer. */
export interface Peer {
    readonly heartbeat: Heartbeat;
    /** Monotonic time in milliseconds. */
    readonly receivedAt: number;
}

/** A host whose latest heartbeat claims a cell, as its holder or caretaker. */
export interface Claimant {
    readonly host: Host;
    readonly claim: CellClaim;
    /** Monotonic time of the heartbeat in milliseconds. */
    readonly receivedAt: number;
}

/** The environment version that a peer's heartbeat reports. */
export interface PeerEnvironment {
    readonly version: number;
    readonly host: Host;
    /** Monotonic time in milliseconds at which the store last confirmed the version; undefined if it never did. */
    readonly confirmedAt: number | undefined;
}

/** Hosts and workers that this host knows from the live list and from heartbeats. */
export interface Membership {
    /** Announces this host, reads the live list and sends heartbeats until `signal` aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
    /** Records a heartbeat from a peer. */
    readonly receive: (heartbeat: Heartbeat) => void;
    /** Peers of the same failure domain whose latest heartbeat is within the timeout. */
    readonly freshLocalPeers: () => readonly Peer[];
    /** All hosts on the live list or with a fresh heartbeat, including this one. */
    readonly hosts: () => readonly Host[];
    /** The host that claims `cell` in a fresh heartbeat: of several the highest epoch, at equal epochs the holder. */
    readonly claimant: (cell: CellId) => Claimant | undefined;
    /** Workers of this failure domain in the last successful read of the live list. */
    readonly workers: () => readonly Worker[];
    /** Workers of all failure domains in the last successful full read of the live list. */
    readonly allWorkers: () => readonly Worker[];
    /** Monotonic time in milliseconds since which `worker` is missing from the live list; undefined while listed. */
    readonly unlistedSince: (worker: WorkerId) => number | undefined;
    /** Highest environment version in a fresh heartbeat; of several hosts the one whose version was confirmed last. */
    readonly newestEnvironment: () => PeerEnvironment | undefined;
}

/** Options of {@link createMembership}. */
export interface MembershipOptions {
    readonly self: Host;
    readonly liveList: LiveList;
    readonly network: PeerNetwork;
    readonly timing: Settings["timing"];
    readonly logger: Logger;
    /** Describes the current state of this host. */
    readonly createHeartbeat: () => Heartbeat;
    /** Called after each successful read of the live list, and when a peer's first heartbeat arrives. */
    readonly onChange: () => void;
}

/** Number of hosts in each other failure domain that get heartbeats. */
const targetsPerRemoteDomain = 2;
/** One of this many reads of the live list covers all failure domains. */
const fullReadInterval = 30;

/** Creates a membership that initially contains only this host. */
export const createMembership = (options: MembershipOptions): Membership => {
    const { self, liveList, network, timing, logger, createHeartbeat, onChange } = options;
    const peers = new Map<HostId, Peer>();
    const listedHosts = new Map<HostId, Host>();
    const hostsWithHeartbeatLoop = new Set<HostId>();
    const missingSince = new Map<WorkerId, number>();
    let workers: readonly Worker[] = [];
    let allWorkers: readonly Worker[] = [];
    let readCount = 0;

    const isFresh = (peer: Peer): boolean => {
        const isLocal = peer.heartbeat.host.failureDomain === self.failureDomain;
        const timeout = isLocal ? timing.hostTimeout : timing.remoteHeartbeat * 3;
        return performance.now() - peer.receivedAt < timeout;
    };
    const freshPeers = (): readonly Peer[] => [...peers.values()].filter(isFresh);
    const hosts = (): readonly Host[] => {
        const hostsById = new Map(listedHosts);
        for (const peer of freshPeers()) {
            hostsById.set(peer.heartbeat.host.id, peer.heartbeat.host);
        }
        hostsById.set(self.id, self);
        return [...hostsById.values()];
    };
    /** Hosts that get this host's heartbeats: all of its own failure domain, a few of each other one. */
    const heartbeatTargets = (): readonly Host[] => {
        const others = hosts().filter(host => host.id !== self.id);
        const local = others.filter(host => host.failureDomain === self.failureDomain);
        const remoteDomains = new Set(
            others.map(host => host.failureDomain).filter(name => name !== self.failureDomain),
        );
        const remote = [...remoteDomains].flatMap(domain => {
            const candidates = others.filter(host => host.failureDomain === domain);
            const chosen = rendezvousRank(self.id, candidates.map(host => host.id)).slice(0, targetsPerRemoteDomain);
            return candidates.filter(host => chosen.includes(host.id));
        });
        return [...local, ...remote];
    };
    const sendHeartbeats = async (host: Host, signal: AbortSignal): Promise<void> => {
        const interval = host.failureDomain === self.failureDomain ? timing.heartbeat : timing.remoteHeartbeat;
        const isTarget = (): boolean => heartbeatTargets().some(target => target.id === host.id);
        while (!signal.aborted && isTarget()) {
            const current = listedHosts.get(host.id) ?? peers.get(host.id)?.heartbeat.host ?? host;
            await Promise.all([network.call(current, createHeartbeat()), sleep(interval, signal)]);
        }
        hostsWithHeartbeatLoop.delete(host.id);
    };
    const startHeartbeatLoops = (signal: AbortSignal): void => {
        for (const host of heartbeatTargets()) {
            if (!hostsWithHeartbeatLoop.has(host.id)) {
                hostsWithHeartbeatLoop.add(host.id);
                void sendHeartbeats(host, signal);
            }
        }
    };
    const setWorkers = (next: readonly Worker[]): void => {
        const listedIds = new Set(next.map(worker => worker.id));
        for (const worker of workers) {
            if (!listedIds.has(worker.id) && !missingSince.has(worker.id)) {
                missingSince.set(worker.id, performance.now());
            }
        }
        for (const id of listedIds) {
            missingSince.delete(id);
        }
        workers = next;
    };
    const readLiveList = async (): Promise<void> => {
        // Changes in other failure domains matter little to this host, so their long lists are read rarely.
        const isFullRead = readCount % fullReadInterval === 0;
        const machines = await liveList.read(isFullRead ? undefined : self.failureDomain);
        if (machines.isErr) {
            logger.debug({ error: machines.error }, "reading the live list failed; keeping the previous contents");
            return;
        }
        readCount += 1;
        if (isFullRead) {
            allWorkers = machines.value.workers;
        }
        listedHosts.clear();
        for (const host of machines.value.hosts) {
            listedHosts.set(host.id, host);
        }
        setWorkers(machines.value.workers.filter(worker => worker.failureDomain === self.failureDomain));
        onChange();
    };
    return {
        run: async signal => {
            while (!signal.aborted) {
                await Promise.all([liveList.announce(self), readLiveList()]);
                startHeartbeatLoops(signal);
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
            const rank = (entry: Claimant): number => entry.claim.epoch + (entry.claim.role === "holder" ? 0.5 : 0);
            return claimants.sort((left, right) => rank(right) - rank(left))[0];
        },
        workers: () => workers,
        allWorkers: () => allWorkers,
        unlistedSince: worker => {
            const isMissing = readCount > 0 && workers.every(listedWorker => listedWorker.id !== worker);
            if (isMissing && !missingSince.has(worker)) {
                missingSince.set(worker, performance.now());
            }
            return missingSince.get(worker);
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
