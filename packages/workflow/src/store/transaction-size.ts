import type { Transaction, TransactionLimits } from "../port/state-store.js";

/** Adds up what several changes make together as one transaction. */
export interface TransactionSize {
    readonly add: (...changes: readonly Transaction[]) => void;
    /** Checks, writes and removals, and bytes of all written values, as `TransactionLimits` counts them. */
    readonly total: () => Pick<TransactionLimits, "entries" | "bytes">;
    /** Whether one transaction may hold all that was added. */
    readonly isWithin: (limits: TransactionLimits) => boolean;
}

/** Creates the size of an empty transaction. */
export const createTransactionSize = (): TransactionSize => {
    let entries = 0;
    let bytes = 0;
    return {
        add: (...changes) => {
            for (const { checks, writes, removals = [] } of changes) {
                entries += checks.length + writes.length + removals.length;
                bytes += writes.reduce((sum, { value }) => sum + Buffer.byteLength(value), 0);
            }
        },
        total: () => ({ entries, bytes }),
        isWithin: limits => entries <= limits.entries && bytes <= limits.bytes,
    };
};
