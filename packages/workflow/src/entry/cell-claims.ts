import type { CellId, JobId } from "@jayfront/world";

import type { CellSummary } from "../cell/cell-summary.js";
import type { EntryHostRecord } from "../peer/host-registry.js";

/** Who holds a cell, as its holder last said. */
export interface CellClaim {
    readonly summary: CellSummary;
    readonly host: EntryHostRecord;
    /** Steady ms of the heartbeat. */
    readonly heardAt: number;
    /** Milliseconds after it without another one until the holder counts as down. */
    readonly timeout: number;
}

/** What this host has heard of all cells. */
export interface CellClaims {
    /** `interval`: ms until the next heartbeat. */
    readonly recordHeartbeat: (host: EntryHostRecord, summaries: readonly CellSummary[], interval: number) => void;
    /** The connection of a holder has closed: its cells are doubted sooner. */
    readonly recordDisconnect: (host: EntryHostRecord) => void;
    /** The last claim that was heard recently enough. */
    readonly fresh: (cell: CellId) => CellClaim | undefined;
    /** The last claim, however long ago it was heard. */
    readonly last: (cell: CellId) => CellClaim | undefined;
    readonly allFresh: () => readonly CellClaim[];
    /** The cell of a workflow, where this host has learned it. */
    readonly cellOf: (id: JobId) => CellId | undefined;
    readonly rememberCell: (id: JobId, cell: CellId) => void;
}

/** Heartbeats that a holder misses before it counts as down. */
const missedHeartbeats = 3;
/** Milliseconds from the end of a holder's connection until it counts as down; it may come back by another one. */
const doubtTime = 250;
/** Workflows whose cell is remembered; a day's worth of a busy host in a few MB. */
const rememberedWorkflows = 20_000;

/** Creates claims of nobody. */
export const createCellClaims = (): CellClaims => {
    const claims = new Map<CellId, CellClaim>();
    const cells = new Map<JobId, CellId>();
    const isFresh = (claim: CellClaim): boolean => performance.now() - claim.heardAt < claim.timeout;
    const learn = (id: JobId, cell: CellId): void => {
        cells.set(id, cell);
        const [oldest] = cells.keys();
        if (cells.size > rememberedWorkflows && oldest !== undefined) {
            cells.delete(oldest);
        }
    };
    return {
        rememberCell: learn,
        cellOf: id => cells.get(id),
        recordHeartbeat: (host, summaries, interval) => {
            const timeout = missedHeartbeats * interval;
            for (const summary of summaries) {
                const known = claims.get(summary.cell);
                if (known === undefined || summary.epoch >= known.summary.epoch) {
                    claims.set(summary.cell, { summary, host, heardAt: performance.now(), timeout });
                }
                summary.accepted.forEach(id => {
                    learn(id, summary.cell);
                });
            }
        },
        recordDisconnect: host => {
            for (const [cell, claim] of claims) {
                if (claim.host.id === host.id && claim.host.incarnation === host.incarnation) {
                    const heardAt = Math.min(claim.heardAt, performance.now() - claim.timeout + doubtTime);
                    claims.set(cell, { ...claim, heardAt });
                }
            }
        },
        fresh: cell => {
            const claim = claims.get(cell);
            return claim !== undefined && isFresh(claim) ? claim : undefined;
        },
        last: cell => claims.get(cell),
        allFresh: () => [...claims.values()].filter(isFresh),
    };
};
