import type { CellId } from "@jayfront/world";
import type { Logger } from "pino";

import type { StateStore, StoredRow, Transaction } from "../port/state-store.js";
import { rowKeys } from "./row-keys.js";

/** Who holds a cell, as its row says. */
export interface CellHolder {
    /** Rises with each holder; workers refuse orders of a lower one. */
    readonly epoch: number;
    readonly host: string;
}

/** Proof that this host holds a cell, renewed by reads and conditional writes of the cell's row. */
export interface CellLease {
    readonly cell: CellId;
    readonly epoch: number;
    /** Condition that every write on behalf of the cell carries. */
    readonly check: Transaction["checks"][number];
    /** Renews by a read; true where the row still names this holder. */
    readonly renew: () => Promise<boolean>;
    /**
     * Renews by a read that is sent after the call, unless a confirmation has just failed; calls at the same time share
     * one read. Answers whether it proved the lease. Only such a read shows that there was no successor when the call
     * came: this process may have been suspended since its last proof.
     */
    readonly confirm: () => Promise<boolean>;
    /** Tells listeners that a call whose success proves the lease is about to be sent; returns what to do on success. */
    readonly trackCall: () => () => void;
    /** Milliseconds of the steady clock at the sending of the last call that proved the lease. */
    readonly provenAt: () => number;
    readonly isLost: () => boolean;
    /** Whether the store's last answer is missing: a write now would probably have an unknown outcome. */
    readonly isStoreFailing: () => boolean;
    /** A call on behalf of the cell had no useful answer. */
    readonly recordStoreFailure: () => void;
    /** Gives the cell up: another holder has been seen. */
    readonly markLost: (reason: string) => void;
}

/** Options of {@link createCellLease}. */
export interface CellLeaseOptions {
    readonly cell: CellId;
    readonly epoch: number;
    /** The row that names this holder. */
    readonly row: Pick<StoredRow, "version">;
    readonly store: StateStore;
    readonly logger: Logger;
    /** Milliseconds on the steady clock at which the call that took the cell was sent. */
    readonly takenAt: number;
    /** Called before each call that can prove the lease; what it returns is called once the call has proved it. */
    readonly onSending: () => () => void;
    readonly onLost: (reason: string) => void;
}

/** Milliseconds after a failed confirmation in which none is tried: the store answers no question more often. */
const confirmPause = 300;

/** Creates the lease of a cell that was just taken. */
export const createCellLease = (options: CellLeaseOptions): CellLease => {
    const { cell, epoch, row, store, logger, onSending, onLost } = options;
    const key = rowKeys.holder(cell);
    let provenAt = options.takenAt;
    let isLost = false;
    let isTroubled = false;
    /** The confirmation that is under way, and the one that follows for calls that came after it was sent. */
    let confirming: Promise<boolean> | undefined;
    let nextConfirmation: Promise<boolean> | undefined;
    let confirmFailedAt = -Infinity;

    const lose = (reason: string): void => {
        if (!isLost) {
            isLost = true;
            logger.warn({ cell, epoch, reason, provenAgo: Math.round(performance.now() - provenAt) }, "cell lost");
            onLost(reason);
        }
    };
    const noteSent = (): () => void => {
        const sentAt = performance.now();
        const onProven = onSending();
        return () => {
            if (!isLost) {
                provenAt = Math.max(provenAt, sentAt);
                isTroubled = false;
                onProven();
            }
        };
    };
    const renew = async (): Promise<boolean> => {
        const proven = noteSent();
        const read = await store.read(key.table, key.partition, key.key);
        if (read.isErr) {
            isTroubled = true;
            return false;
        }
        if (read.value.rows[0]?.version !== row.version) {
            lose("the cell's row names another holder");
            return false;
        }
        proven();
        return true;
    };
    const startConfirmation = (): Promise<boolean> => {
        nextConfirmation = undefined;
        if (performance.now() - confirmFailedAt < confirmPause) {
            return Promise.resolve(false);
        }
        confirming = renew().then(isProven => {
            confirmFailedAt = isProven ? confirmFailedAt : performance.now();
            confirming = undefined;
            return isProven;
        });
        return confirming;
    };
    return {
        cell,
        epoch,
        check: { ...key, version: row.version },
        trackCall: noteSent,
        markLost: lose,
        renew,
        confirm: async () => {
            if (confirming === undefined) {
                return await startConfirmation();
            }
            nextConfirmation ??= confirming.then(startConfirmation);
            return await nextConfirmation;
        },
        provenAt: () => provenAt,
        isLost: () => isLost,
        isStoreFailing: () => isTroubled,
        recordStoreFailure: () => {
            isTroubled = true;
        },
    };
};
