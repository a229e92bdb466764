import type { CellId } from "@jayfront/world";
import type { Logger } from "pino";

import type { StateStore, StoredRow, Transaction } from "../port/state-store.js";
import { rowKeys } from "./row-keys.js";

/** The holder of a cell, as stored in the cell's holder row. */
export interface CellHolder {
    /** Increases with each holder; workers refuse orders of a lower epoch than the highest that they have seen. */
    readonly epoch: number;
    readonly host: string;
}

/**
 * The lease by which this host holds a cell. A store call proves the lease if its success shows that the cell's holder
 * row still names this host and epoch: a read of the row, or a commit with {@link CellLease.check} among its checks.
 */
export interface CellLease {
    readonly cell: CellId;
    readonly epoch: number;
    /** Check that every commit on behalf of the cell carries, so that it fails once another host has taken the cell. */
    readonly check: Transaction["checks"][number];
    /**
     * Reads the holder row; true if it still names this holder. Marks the lease lost if it names another one. `timeout`:
     * milliseconds after which the read counts as unanswered; by default the store's.
     */
    readonly renew: (timeout?: number) => Promise<boolean>;
    /**
     * Reads the holder row by a read that is sent after this call; concurrent calls share a read. Resolves to whether
     * it proved the lease, or to false without a read if a confirmation failed just before. An earlier proof does not
     * show that there was no successor at the time of the call, since the process may have been suspended since then.
     */
    readonly confirm: () => Promise<boolean>;
    /** Has to be called just before a store call that can prove the lease; the returned function, once it succeeded. */
    readonly trackCall: () => () => void;
    /** Monotonic time in ms at which the last call that proved the lease was sent. */
    readonly provenAt: () => number;
    readonly isLost: () => boolean;
    /** Whether a store call has failed since the last proof: a write now would probably have an unknown outcome. */
    readonly isStoreFailing: () => boolean;
    /** Records that a store call on behalf of the cell failed other than by a conflict. */
    readonly recordStoreFailure: () => void;
    /** Ends the lease for good, since another holder was seen; only the first call has an effect. */
    readonly markLost: (reason: string) => void;
}

/** Options of {@link createCellLease}. */
export interface CellLeaseOptions {
    readonly cell: CellId;
    readonly epoch: number;
    /** The holder row that names this host. */
    readonly row: Pick<StoredRow, "version">;
    readonly store: StateStore;
    readonly logger: Logger;
    /** See `ProcessDelay.recent`. */
    readonly processDelay: () => number;
    /** Monotonic time in ms at which the call that took the cell was sent. */
    readonly takenAt: number;
    /** Called before each store call that can prove the lease; the returned function is called if it does. */
    readonly onSending: () => () => void;
    /** Called once, when the lease is lost. */
    readonly onLost: (reason: string) => void;
}

/** Milliseconds after a failed confirmation in which none is tried, so that queries don't load a store that fails. */
const confirmRetryDelay = 300;

/** Creates the lease of a cell that this host has just taken. */
export const createCellLease = (options: CellLeaseOptions): CellLease => {
    const { cell, epoch, row, store, logger, processDelay, onSending, onLost } = options;
    const key = rowKeys.holder(cell);
    let provenAt = options.takenAt;
    let isLost = false;
    let isStoreFailing = false;
    /** The confirmation in flight, and the one that follows it for calls made after the first was sent. */
    let currentConfirmation: Promise<boolean> | undefined;
    let nextConfirmation: Promise<boolean> | undefined;
    let confirmFailedAt = -Infinity;

    const markLost = (reason: string): void => {
        if (!isLost) {
            isLost = true;
            logger.warn({
                cell,
                epoch,
                reason,
                provenAgo: Math.round(performance.now() - provenAt),
                processDelay: Math.round(processDelay()),
            }, "cell lost");
            onLost(reason);
        }
    };
    const trackCall = (): () => void => {
        const sentAt = performance.now();
        const onProven = onSending();
        return () => {
            if (!isLost) {
                provenAt = Math.max(provenAt, sentAt);
                isStoreFailing = false;
                onProven();
            }
        };
    };
    const renew = async (timeout?: number): Promise<boolean> => {
        const recordProof = trackCall();
        const read = await store.read(key.table, key.partition, key.key, timeout);
        if (read.isErr) {
            isStoreFailing = true;
            return false;
        }
        if (read.value.rows[0]?.version !== row.version) {
            markLost("a read of the cell's holder row found another holder");
            return false;
        }
        recordProof();
        return true;
    };
    const startConfirmation = (): Promise<boolean> => {
        nextConfirmation = undefined;
        if (performance.now() - confirmFailedAt < confirmRetryDelay) {
            return Promise.resolve(false);
        }
        currentConfirmation = renew().then(isProven => {
            confirmFailedAt = isProven ? confirmFailedAt : performance.now();
            currentConfirmation = undefined;
            return isProven;
        });
        return currentConfirmation;
    };
    return {
        cell,
        epoch,
        check: { ...key, version: row.version },
        trackCall,
        markLost,
        renew,
        confirm: async () => {
            if (currentConfirmation === undefined) {
                return await startConfirmation();
            }
            nextConfirmation ??= currentConfirmation.then(startConfirmation);
            return await nextConfirmation;
        },
        provenAt: () => provenAt,
        isLost: () => isLost,
        isStoreFailing: () => isStoreFailing,
        recordStoreFailure: () => {
            isStoreFailing = true;
        },
    };
};
