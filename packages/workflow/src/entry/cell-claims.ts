import type { CellId, JobId } from "@jayfront/world";

import type { CellSummary } from "../cell/cell-summary.js";
import type { EntryHostRecord } from "../peer/host-registry.js";

/** Who holds a cell, as reported by the holder's last heartbeat. */
export interface CellClaim {
    readonly summary: CellSummary;
    readonly host: EntryHostRecord;
    /** Monotonic time in ms at which the heartbeat was received. */
    readonly heardAt: number;
    /** Milliseconds by which the timers of this process had been late in all at that time. */
    readonly lateTime: number;
    /** Milliseconds of silence after which the holder counts as down. */
    readonly timeout: number;
    /** Whether the holder's process has probably ended, so that its silence is no mere delay. */
    readonly hasEnded: boolean;
}

/** The last claims of all cells that this host has received. */
export interface CellClaims {
    /** Records a heartbeat. `interval`: milliseconds until the next one. */
    readonly recordHeartbeat: (host: EntryHostRecord, summaries: readonly CellSummary[], interval: number) => void;
    /** Records that a holder's process has probably ended, which shortens the timeout of its claims. */
    readonly recordEnd: (host: EntryHostRecord) => void;
    /** The last claim on a cell, unless it has timed out. */
    readonly fresh: (cell: CellId) => CellClaim | undefined;
    /** The last claim on a cell, even if it has timed out. */
    readonly last: (cell: CellId) => CellClaim | undefined;
    /** All claims that have not timed out. */
    readonly allFresh: () => readonly CellClaim[];
    /**
     * Milliseconds since the last heartbeat of the cell's holder, without the time in which this process was late: the
     * heartbeats of that time may wait unread. Undefined if there was no heartbeat.
     */
    readonly silence: (cell: CellId) => number | undefined;
    /** The cell of a workflow, if this host remembers it. */
    readonly cellOf: (id: JobId) => CellId | undefined;
    /** Remembers the cell of a workflow; the oldest entries are evicted. */
    readonly rememberCell: (id: JobId, cell: CellId) => void;
}

/** Options of {@link createCellClaims}. */
export interface CellClaimsOptions {
    /** See `ProcessDelay.total`. */
    readonly lateTime: () => number;
}

/** Missed heartbeats after which a holder counts as down. */
const missedHeartbeats = 3;
/** Milliseconds until a holder counts as down whose process has probably ended, unless another heartbeat arrives. */
const endTimeout = 250;
/** Number of workflows whose cell is remembered: a day's load of a busy host, in a few MB. */
const maxRememberedWorkflows = 20_000;

/** Largest share of the time since a heartbeat that counts as late: even a host that is always late notices a loss. */
const maxLateShare = 2 / 3;

/** Creates a set of claims that is empty. */
export const createCellClaims = ({ lateTime }: CellClaimsOptions): CellClaims => {
    const claims = new Map<CellId, CellClaim>();
    const cells = new Map<JobId, CellId>();
    const silenceOf = (claim: CellClaim): number => {
        const elapsed = performance.now() - claim.heardAt;
        return elapsed - Math.min(lateTime() - claim.lateTime, elapsed * maxLateShare);
    };
    const isFresh = (claim: CellClaim): boolean => silenceOf(claim) < claim.timeout;
    const rememberCell = (id: JobId, cell: CellId): void => {
        cells.set(id, cell);
        const [oldest] = cells.keys();
        if (cells.size > maxRememberedWorkflows && oldest !== undefined) {
            cells.delete(oldest);
        }
    };
    return {
        rememberCell,
        cellOf: id => cells.get(id),
        recordHeartbeat: (host, summaries, interval) => {
            const timeout = missedHeartbeats * interval;
            for (const summary of summaries) {
                const known = claims.get(summary.cell);
                if (known === undefined || summary.epoch >= known.summary.epoch) {
                    claims.set(summary.cell, {
                        summary,
                        host,
                        heardAt: performance.now(),
                        lateTime: lateTime(),
                        timeout,
                        hasEnded: false,
                    });
                }
                summary.accepted.forEach(id => {
                    rememberCell(id, summary.cell);
                });
            }
        },
        recordEnd: host => {
            for (const [cell, claim] of claims) {
                if (claim.host.id === host.id && claim.host.incarnation === host.incarnation) {
                    const heardAt = Math.min(claim.heardAt, performance.now() - claim.timeout + endTimeout);
                    claims.set(cell, { ...claim, heardAt, lateTime: lateTime(), hasEnded: true });
                }
            }
        },
        fresh: cell => {
            const claim = claims.get(cell);
            return claim !== undefined && isFresh(claim) ? claim : undefined;
        },
        last: cell => claims.get(cell),
        silence: cell => {
            const claim = claims.get(cell);
            return claim === undefined ? undefined : silenceOf(claim);
        },
        allFresh: () => [...claims.values()].filter(isFresh),
    };
};
