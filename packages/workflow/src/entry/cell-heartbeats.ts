import type { CellId, HostId, JobId } from "@jayfront/world";
import { sleep } from "@jayfront/world";

import type { CellSummary } from "../cell/cell-summary.js";
import type { WorkflowCell } from "../cell/workflow-cell.js";
import type { EntryHostRecord } from "../peer/host-registry.js";
import type { WorkflowNetwork } from "../peer/workflow-network.js";
import type { CellClaims } from "./cell-claims.js";

/** Sends the other entry hosts heartbeats with the state of the cells that this host holds. */
export interface CellHeartbeats {
    /** Sends heartbeats to all peers now. */
    readonly sendToAll: () => void;
    /** Sends a heartbeat to one host now, if this host holds a cell. */
    readonly sendTo: (host: EntryHostRecord) => void;
    /** Requests a heartbeat from a holder, which may not know this host yet. */
    readonly requestFrom: (holder: HostId) => void;
    /** Sends heartbeats at regular intervals until `signal` aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Options of {@link createCellHeartbeats}. */
export interface CellHeartbeatsOptions {
    readonly self: EntryHostRecord;
    readonly network: WorkflowNetwork;
    readonly claims: CellClaims;
    readonly peers: () => readonly EntryHostRecord[];
    /** Cells that this host holds. */
    readonly held: () => readonly WorkflowCell[];
    /** Hosts that would take a cell if its holder were lost, in order of preference. */
    readonly successors: (cell: CellId) => readonly HostId[];
    readonly configurationVersion: () => number;
    /** See `ProcessDelay.recent`. */
    readonly processDelay: () => number;
}

/** Milliseconds between heartbeats to the watchers, which take this host's cells if it is lost. */
const watcherInterval = 400;
/** Watchers per cell. If all are lost along with the holder, other hosts take the cell, but notice the loss later. */
const watcherCount = 6;
/** Multiple of {@link watcherInterval} at which other hosts get heartbeats; they only route submissions by them. */
const slowHeartbeatFactor = 3;
/** Milliseconds of this process's delay that are announced at most, so that a lost holder is still replaced in time. */
const maxAnnouncedDelay = 600;
/** Milliseconds between two requests for a heartbeat to the same holder. */
const requestInterval = 1_000;
/** Recently accepted workflows listed per cell at most, for hosts that missed the heartbeat right after acceptance. */
const maxReportedAcceptances = 500;

/** Creates the heartbeats of a host. */
export const createCellHeartbeats = (options: CellHeartbeatsOptions): CellHeartbeats => {
    const { self, network, claims, peers, held, successors, configurationVersion, processDelay } = options;
    /** Workflows accepted since the last heartbeat to all hosts, by cell. */
    const accepted = new Map<CellId, JobId[]>();
    /** Monotonic time in ms of the last request to each holder. */
    const requestedAt = new Map<HostId, number>();

    const summarize = (): readonly CellSummary[] =>
        held().map(cell => {
            const summary = cell.summary();
            const recentlyAccepted = [...accepted.get(cell.cell) ?? [], ...summary.accepted].slice(
                -maxReportedAcceptances,
            );
            accepted.set(cell.cell, recentlyAccepted);
            return { ...summary, accepted: recentlyAccepted };
        });
    /** `planned`: milliseconds until the next heartbeat if this process is on time. */
    const send = (hosts: readonly EntryHostRecord[], cells: readonly CellSummary[], planned: number): void => {
        const interval = planned + Math.min(processDelay(), maxAnnouncedDelay);
        const heartbeat = { host: self, interval, configurationVersion: configurationVersion(), cells };
        hosts.forEach(host => void network.call(host, "cell-heartbeat", heartbeat));
    };
    const findWatchers = (): ReadonlySet<HostId> =>
        new Set(held().flatMap(({ cell }) => successors(cell).slice(0, watcherCount)));
    /** Sends heartbeats to the watchers and, in a full round, to all other peers. */
    const sendHeartbeats = (isFullRound: boolean): void => {
        const cells = summarize();
        if (cells.length === 0) {
            return;
        }
        claims.recordHeartbeat(self, cells, watcherInterval);
        const watchers = findWatchers();
        send(peers().filter(peer => watchers.has(peer.id)), cells, watcherInterval);
        if (isFullRound) {
            send(peers().filter(peer => !watchers.has(peer.id)), cells, watcherInterval * slowHeartbeatFactor);
            accepted.clear();
        }
    };
    return {
        sendToAll: () => {
            sendHeartbeats(true);
        },
        sendTo: host => {
            const cells = summarize();
            if (cells.length > 0) {
                send([host], cells, watcherInterval * slowHeartbeatFactor);
            }
        },
        requestFrom: id => {
            const holder = peers().find(peer => peer.id === id);
            const wasJustRequested = performance.now() - (requestedAt.get(id) ?? -Infinity) < requestInterval;
            if (holder !== undefined && !wasJustRequested) {
                requestedAt.set(id, performance.now());
                void network.call(holder, "hello", { host: self });
            }
        },
        run: async signal => {
            for (let round = 0; !signal.aborted; round += 1) {
                sendHeartbeats(round % slowHeartbeatFactor === 0);
                await sleep(watcherInterval, signal);
            }
        },
    };
};
