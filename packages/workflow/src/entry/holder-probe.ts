import type { CellId } from "@jayfront/world";
import type { Logger } from "pino";

import type { EntryHostRecord } from "../peer/host-registry.js";
import type { WorkflowNetwork } from "../peer/workflow-network.js";

/** A cell from whose holder this host receives no heartbeats. */
export interface ProbedCell {
    readonly cell: CellId;
    /** Epoch of the cell's holder. */
    readonly epoch: number;
    /** Milliseconds of silence after which the holder counts as down, by its last heartbeat to this host. */
    readonly timeout: number;
    /** Hosts that may receive the holder's heartbeats, in the order in which to ask them. */
    readonly peers: readonly EntryHostRecord[];
}

/**
 * Asks other hosts whether they still receive heartbeats from a holder from which this host receives none. Without
 * this, a host that is cut off from the others would take cells from holders that serve everybody else. The probe only
 * avoids needless takeovers; the cell's row in the store decides who holds the cell.
 */
export interface HolderProbe {
    /** Whether the holder counts as down; also false for a while after a peer was found to hear it. */
    readonly isDown: (probed: ProbedCell) => Promise<boolean>;
    /** Whether a peer has received a heartbeat of a holder with a later epoch. */
    readonly hasSuccessor: (probed: Omit<ProbedCell, "timeout">) => Promise<boolean>;
}

/** Options of {@link createHolderProbe}. */
export interface HolderProbeOptions {
    readonly network: WorkflowNetwork;
    readonly logger: Logger;
}

/** Milliseconds that stand for a holder that was never heard; finite, since messages can't carry Infinity. */
export const neverHeard = 1e9;
/** Peers that are asked first; the next ones are asked if none of these answers. */
const firstBatchSize = 4;
/** Peers that are asked at most. */
const maxAskedPeers = 16;
/**
 * Share of its timeout for which a holder may be silent and counts as alive. The last heartbeat of a lost holder is older
 * when a watcher asks: watchers wait for three missed heartbeats, one of which only the watcher may have missed.
 */
const maxAliveShare = 0.6;
/** Milliseconds for which a peer's answer that the holder is alive stays valid. */
const heardValidity = 600;
/** Milliseconds without an answer from any peer after which a holder counts as down nonetheless. */
const isolationTimeout = 4_000;
/** Milliseconds between two unanswered probes above which they do not belong to the same isolation. */
const maxProbeGap = 1_500;

/** What peers are asked. */
interface Question {
    readonly cell: CellId;
    readonly epoch: number;
    /** Milliseconds of silence below which one answer is enough. */
    readonly maxAliveSilence: number;
}

/** A time in which no peer has answered, in ms of the monotonic clock. */
interface Isolation {
    readonly since: number;
    /** End of its latest probe. */
    readonly lastProbeAt: number;
}

/** Creates a probe that has asked no peer yet. */
export const createHolderProbe = ({ network, logger }: HolderProbeOptions): HolderProbe => {
    /** Monotonic time in ms at which a peer last confirmed that the holder is alive, by cell. */
    const heardAt = new Map<CellId, number>();
    const isolations = new Map<CellId, Isolation>();

    /**
     * Resolves to the milliseconds since each peer last heard the holder, without those that do not answer; as soon as
     * one peer reports that the holder is alive, or else when all calls are over.
     */
    const askPeers = (
        peers: readonly EntryHostRecord[],
        { cell, epoch, maxAliveSilence }: Question,
    ): Promise<readonly number[]> =>
        new Promise(resolve => {
            const silences: number[] = [];
            let remaining = peers.length;
            const finishOne = (): void => {
                remaining -= 1;
                if (remaining <= 0 || silences.some(silence => silence < maxAliveSilence)) {
                    resolve(silences);
                }
            };
            for (const peer of peers) {
                void network.call(peer, "holder-heard", { cell, epoch }).then(answer => {
                    answer.map(silence => silences.push(silence));
                    finishOne();
                });
            }
            if (remaining === 0) {
                resolve(silences);
            }
        });
    const askInBatches = async (
        peers: readonly EntryHostRecord[],
        question: Question,
    ): Promise<readonly number[]> => {
        const silences = await askPeers(peers.slice(0, firstBatchSize), question);
        return silences.length > 0 ? silences : askPeers(peers.slice(firstBatchSize, maxAskedPeers), question);
    };
    return {
        hasSuccessor: async ({ cell, epoch, peers }) => {
            const question = { cell, epoch: epoch + 1, maxAliveSilence: neverHeard };
            const silences = await askPeers(peers.slice(0, firstBatchSize), question);
            return silences.some(silence => silence < neverHeard);
        },
        isDown: async ({ cell, epoch, timeout, peers }) => {
            const maxAliveSilence = timeout * maxAliveShare;
            const now = performance.now();
            if (now - (heardAt.get(cell) ?? -Infinity) < heardValidity) {
                return false;
            }
            if (peers.length === 0) {
                return true;
            }
            const silences = await askInBatches(peers, { cell, epoch, maxAliveSilence });
            if (silences.length === 0) {
                const previous = isolations.get(cell);
                const isOngoing = previous !== undefined && now - previous.lastProbeAt <= maxProbeGap;
                const since = isOngoing ? previous.since : now;
                isolations.set(cell, { since, lastProbeAt: performance.now() });
                return performance.now() - since >= isolationTimeout;
            }
            isolations.delete(cell);
            const silence = Math.min(...silences);
            if (silence < maxAliveSilence) {
                heardAt.set(cell, performance.now());
                logger.info({ cell, epoch, silence: Math.round(silence) }, "holder is alive according to other hosts");
                return false;
            }
            return true;
        },
    };
};
