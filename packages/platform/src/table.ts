import type { Result } from "true-myth";

import type { PlatformError } from "./platform-error.js";

/** A row as read. A {@link TableCheck} can require its `version`. */
export interface TableRow<Value = unknown> {
    readonly key: string;
    /** Increases with each write of the row. */
    readonly version: number;
    readonly value: Value;
}

/** A condition of a transaction: the row has `version`, or does not exist if `version` is 0. */
export interface TableCheck {
    readonly key: string;
    readonly version: number;
}

/** A write of a transaction. If `value` is undefined, the row is deleted. */
export interface TableWrite {
    readonly key: string;
    readonly value: unknown;
}

/** A transaction: its writes take effect if all checks hold, otherwise none of them does. */
export interface TableTransaction {
    /** Operation id that makes the transaction idempotent: a repeat returns the outcome of the first commit. */
    readonly operation: string;
    readonly checks: readonly TableCheck[];
    readonly writes: readonly TableWrite[];
}

/** The platform's transactional table service. */
export interface Table {
    /** Reads one row; undefined if it does not exist. */
    readonly get: <Value>(key: string) => Promise<Result<TableRow<Value> | undefined, PlatformError>>;
    /** Reads all rows whose key starts with `prefix`, ordered by key. */
    readonly scan: <Value>(prefix: string) => Promise<Result<readonly TableRow<Value>[], PlatformError>>;
    /** Commits a transaction and returns the new version of each written row, in the order of `writes`. */
    readonly commit: (transaction: TableTransaction) => Promise<Result<readonly number[], PlatformError>>;
}
