import type { CellId, HostId, JobId } from "@jayfront/world";
import { sleep } from "@jayfront/world";

import type { CellSummary } from "../cell/cell-summary.js";
import type { WorkflowCell } from "../cell/workflow-cell.js";
import type { EntryHostRecord } from "../peer/host-registry.js";
import type { WorkflowNetwork } from "../peer/workflow-network.js";
import type { CellClaims } from "./cell-claims.js";

/** Tells the other entry hosts which cells this host holds, and how these stand. */
export interface CellHeartbeats {
    readonly sendToAll: () => void;
    readonly sendTo: (host: EntryHostRecord) => void;
    /** Asks a holder for a heartbeat who may not know this host. */
    readonly requestFrom: (holder: HostId) => void;
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
    /** Hosts that would take a cell if its holder were lost, the first ones first. */
    readonly successors: (cell: CellId) => readonly HostId[];
    readonly configurationVersion: () => number;
}

/** Milliseconds between heartbeats to the hosts that watch this one, to take its cells if it is lost. */
const watcherInterval = 400;
/** Hosts that watch a cell's holder; as many may be lost with it before others notice, later. */
const watchers = 6;
/** Beats after which the others are told, which only send submitters here. */
const restFactor = 3;
/** Milliseconds between two requests to the same holder. */
const askInterval = 1_000;
/** Workflows accepted lately that are told to a host which missed them. */
const rememberedAcceptances = 500;

/** Creates the heartbeats of a host. */
export const createCellHeartbeats = (options: CellHeartbeatsOptions): CellHeartbeats => {
    const { self, network, claims, peers, held, successors, configurationVersion } = options;
    /** Workflows accepted since the last heartbeat to all hosts, by cell. */
    const accepted = new Map<CellId, JobId[]>();
    const askedAt = new Map<HostId, number>();

    const summarize = (): readonly CellSummary[] =>
        held().map(cell => {
            const summary = cell.summary();
            const known = [...accepted.get(cell.cell) ?? [], ...summary.accepted].slice(-rememberedAcceptances);
            accepted.set(cell.cell, known);
            return { ...summary, accepted: known };
        });
    const send = (hosts: readonly EntryHostRecord[], cells: readonly CellSummary[], interval: number): void => {
        const heartbeat = { host: self, interval, configurationVersion: configurationVersion(), cells };
        hosts.forEach(host => void network.call(host, "cell-heartbeat", heartbeat));
    };
    const watching = (): ReadonlySet<HostId> =>
        new Set(held().flatMap(({ cell }) => successors(cell).slice(0, watchers)));
    /** Hosts that are told at a beat, with the time until the next one. */
    const beat = (isTurnOfAll: boolean): void => {
        const cells = summarize();
        if (cells.length === 0) {
            return;
        }
        claims.recordHeartbeat(self, cells, watcherInterval);
        const near = watching();
        send(peers().filter(peer => near.has(peer.id)), cells, watcherInterval);
        if (isTurnOfAll) {
            send(peers().filter(peer => !near.has(peer.id)), cells, watcherInterval * restFactor);
            accepted.clear();
        }
    };
    return {
        sendToAll: () => {
            beat(true);
        },
        sendTo: host => {
            const cells = summarize();
            if (cells.length > 0) {
                send([host], cells, watcherInterval * restFactor);
            }
        },
        requestFrom: id => {
            const holder = peers().find(peer => peer.id === id);
            const isAsked = performance.now() - (askedAt.get(id) ?? -Infinity) < askInterval;
            if (holder !== undefined && !isAsked) {
                askedAt.set(id, performance.now());
                void network.call(holder, "hello", { host: self });
            }
        },
        run: async signal => {
            for (let count = 0; !signal.aborted; count += 1) {
                beat(count % restFactor === 0);
                await sleep(watcherInterval, signal);
            }
        },
    };
};
