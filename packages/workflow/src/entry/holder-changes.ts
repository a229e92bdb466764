import type { CellId } from "@jayfront/world";

/** Recent changes of the cells' holders, from which follows how long a host waits before it causes another one. */
export interface HolderChanges {
    /** Records the epoch of a cell's holder, from a heartbeat or from the cell's row; each new epoch is a change. */
    readonly record: (cell: CellId, epoch: number) => void;
    /**
     * Milliseconds by which a change on mere suspicion is put off. 0 after one recent change; grows with each further
     * one, so that a new holder gets the time to load the cell and to carry out the work that this causes.
     */
    readonly pause: (cell: CellId) => number;
}

/** Milliseconds for which a change counts as recent. */
const recentTime = 60_000;
/** Recent changes that cause no pause. */
const freeChanges = 1;
/** Milliseconds of the first pause; each further change doubles it. */
const firstPause = 400;
/** Longest pause in milliseconds: a lost holder has to be replaced before the leases of its tasks lapse. */
const maxPause = 1_600;
/** Changes that are remembered of each cell; more do not prolong the pause. */
const maxChanges = 10;

/** What is known of a cell's holders. */
interface CellHistory {
    /** Highest epoch that was seen. */
    readonly epoch: number;
    /** Monotonic times in ms at which changes were seen, the oldest first. */
    readonly changedAt: readonly number[];
}

/** Creates a history without changes. */
export const createHolderChanges = (): HolderChanges => {
    const histories = new Map<CellId, CellHistory>();
    return {
        record: (cell, epoch) => {
            const known = histories.get(cell);
            if (known === undefined) {
                histories.set(cell, { epoch, changedAt: [] });
            }
            else if (epoch > known.epoch) {
                const added = Array<number>(Math.min(epoch - known.epoch, maxChanges)).fill(performance.now());
                histories.set(cell, { epoch, changedAt: [...known.changedAt, ...added].slice(-maxChanges) });
            }
        },
        pause: cell => {
            const changedAt = histories.get(cell)?.changedAt ?? [];
            const count = changedAt.filter(at => performance.now() - at < recentTime).length;
            return count <= freeChanges ? 0 : Math.min(maxPause, firstPause * 2 ** (count - freeChanges - 1));
        },
    };
};
