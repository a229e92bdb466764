import type { Result } from "true-myth";

/** Address of a row. Rows of one partition can change together cheaply. */
export interface RowKey {
    readonly table: string;
    readonly partition: string;
    readonly key: string;
}

/** A row as read. */
export interface StoredRow extends RowKey {
    readonly value: string;
    /** Rises with each write of the row. */
    readonly version: number;
}

/** All writes take effect if all checks hold, else none does. */
export interface Transaction {
    /** Each row must have `version`; 0 means that the row must be absent. */
    readonly checks: readonly (RowKey & { readonly version: number; })[];
    readonly writes: readonly (RowKey & { readonly value: string; })[];
    readonly removals?: readonly RowKey[];
}

/**
 * Why a call to the store failed. After `conflict`, `refused` and `throttled` nothing was done; after `unknown` a
 * write may have been done, or may still be done seconds later if its checks hold.
 */
export type StoreError =
    | { readonly kind: "conflict"; readonly rows: readonly StoredRow[]; readonly message: string; }
    | { readonly kind: "refused" | "throttled" | "unknown" | "history-gone"; readonly message: string; };

/** What changed in a table, in order. */
export interface TableChanges {
    readonly rows: readonly (StoredRow & { readonly isRemoved: boolean; })[];
    /** Version to continue from. */
    readonly version: number;
}

/** The platform's transactional store, the only place that outlives a process. */
export interface StateStore {
    /** Commits a transaction; answers the version that all written rows now have. */
    readonly commit: (transaction: Transaction) => Promise<Result<number, StoreError>>;
    /**
     * Reads all rows of a partition, or one key, as of one moment. `patience`: milliseconds until a call counts as
     * unanswered, where the rows are large; the adapter has its own.
     */
    readonly read: (
        table: string,
        partition: string,
        key?: string,
        patience?: number,
    ) => Promise<Result<{ readonly rows: readonly StoredRow[]; readonly version: number; }, StoreError>>;
    /** Waits up to `wait` milliseconds for changes of a table after `version`. */
    readonly follow: (table: string, version: number, wait: number) => Promise<Result<TableChanges, StoreError>>;
}
