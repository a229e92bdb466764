import type { Platform } from "@jayfront/platform";
import type { Environment, Host } from "@jayfront/world";
import { rendezvousRank, sleep } from "@jayfront/world";
import type { Logger } from "pino";

import { tableKeys } from "../cell/cell-store.js";
import type { Metrics } from "../metrics.js";
import type { Membership } from "../peer/membership.js";
import type { PeerNetwork } from "../peer/peer-network.js";
import type { Settings } from "../settings.js";

/** Follows the environment document by means of the store and the peers; its version never decreases. */
export interface EnvironmentWatch {
    /** Polls the store or the peers until `signal` aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
    /** The newest version received; undefined before the first. */
    readonly current: () => Environment | undefined;
    /** Milliseconds since the store confirmed the version to this host or a peer; undefined before the first time. */
    readonly confirmedAge: () => number | undefined;
    /** Whether the host may serve: the store has confirmed a version or, if unavailable, no peer has a newer one. */
    readonly isReady: () => boolean;
    /** Replaces the current version if `environment` is newer. */
    readonly accept: (environment: Environment) => void;
}

/** Options of {@link createEnvironmentWatch}. */
export interface EnvironmentWatchOptions {
    readonly self: Host;
    /** Name of the environment to follow. */
    readonly name: string;
    readonly platform: Platform;
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly timing: Settings["timing"];
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Interval between checks whether the store has to be polled or a peer has a newer version. */
const checkIntervalMs = 250;

/** Creates a watch that has no document yet. */
export const createEnvironmentWatch = (options: EnvironmentWatchOptions): EnvironmentWatch => {
    const { self, name, platform, network, membership, timing, logger, metrics } = options;
    let current: Environment | undefined;
    let confirmedAt: number | undefined;
    let lastPollAt = -Infinity;
    let isStoreUnavailable = false;

    const accept = (environment: Environment): void => {
        if (environment.version > (current?.version ?? 0)) {
            current = environment;
            metrics.environmentVersion.set(environment.version);
            logger.info({ version: environment.version }, "environment version took effect");
        }
    };
    /** Whether this host polls the store: one host per failure domain does, and every host without a document. */
    const isPoller = (): boolean => {
        const readyPeers = membership.freshLocalPeers().filter(peer => peer.heartbeat.isReady).map(peer =>
            peer.heartbeat.host.id
        );
        return current === undefined || rendezvousRank("environment-poller", [...readyPeers, self.id])[0] === self.id;
    };
    const poll = async (): Promise<void> => {
        lastPollAt = performance.now();
        const row = await platform.table.get<Environment>(tableKeys.environment(name));
        isStoreUnavailable = row.isErr;
        if (row.isOk) {
            confirmedAt = performance.now();
            if (row.value !== undefined) {
                accept(row.value.value);
            }
        }
    };
    const fetchFromPeer = async (): Promise<void> => {
        const newest = membership.newestEnvironment();
        if (newest === undefined || newest.version <= (current?.version ?? 0)) {
            return;
        }
        const answer = await network.call(newest.host, { kind: "environment-wanted" });
        if (answer.isOk && answer.value !== undefined) {
            accept(answer.value);
        }
    };
    const refreshConfirmation = (): void => {
        const newest = membership.newestEnvironment();
        if (newest?.confirmedAt !== undefined && newest.version === current?.version) {
            confirmedAt = Math.max(confirmedAt ?? 0, newest.confirmedAt);
        }
    };
    return {
        run: async signal => {
            while (!signal.aborted) {
                if (isPoller() && performance.now() - lastPollAt >= timing.environmentPoll) {
                    await poll();
                }
                await fetchFromPeer();
                refreshConfirmation();
                await sleep(checkIntervalMs, signal);
            }
        },
        current: () => current,
        confirmedAge: () => confirmedAt === undefined ? undefined : performance.now() - confirmedAt,
        isReady: () => {
            if (current === undefined) {
                return false;
            }
            const highest = membership.newestEnvironment()?.version ?? 0;
            return confirmedAt !== undefined || isStoreUnavailable && current.version >= highest;
        },
        accept,
    };
};
