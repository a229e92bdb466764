import { Result } from "true-myth";

import type { StateStore, StoredRow, StoreError, TableChanges } from "../port/state-store.js";

/** A row of a followed table that changed. */
export type RowChange = TableChanges["rows"][number];

/** A local copy of a table's rows, updated by reading only what has changed, so that unchanged rows cost nothing. */
export interface FollowedTable {
    /** Waits up to `wait` ms for changes and applies them; resolves to the rows that changed. */
    readonly update: (wait: number) => Promise<Result<readonly RowChange[], StoreError>>;
    /** The rows as of the last update, by key. */
    readonly rows: () => ReadonlyMap<string, StoredRow>;
}

/** Options of {@link createFollowedTable}. */
export interface FollowedTableOptions {
    readonly store: StateStore;
    readonly table: string;
    /** The one partition of the table. */
    readonly partition: string;
}

/** Rows per page of the store. A feed of exactly this length may have been truncated, so the whole table is read. */
const feedPageSize = 500;
/** Milliseconds after which the whole table is read again, in case a change was missed. */
const fullReadInterval = 20_000;

/** Creates a copy that is empty until the first update. */
export const createFollowedTable = ({ store, table, partition }: FollowedTableOptions): FollowedTable => {
    const rows = new Map<string, StoredRow>();
    /** Version of the store up to which changes have been applied; undefined before the first read. */
    let knownVersion: number | undefined;
    /** Monotonic time in ms of the last read of the whole table. */
    let fullReadAt = -Infinity;

    const createRemoval = (row: StoredRow): RowChange => ({ ...row, value: "", isRemoved: true });
    const readAll = async (): Promise<Result<readonly RowChange[], StoreError>> => {
        const read = await store.read(table, partition);
        return read.map(({ rows: found, version }) => {
            const keys = new Set(found.map(row => row.key));
            const removed = [...rows.values()].filter(row => !keys.has(row.key)).map(createRemoval);
            const changed = found.filter(row => rows.get(row.key)?.version !== row.version);
            removed.forEach(row => rows.delete(row.key));
            changed.forEach(row => rows.set(row.key, row));
            knownVersion = version;
            fullReadAt = performance.now();
            return [...removed, ...changed.map(row => ({ ...row, isRemoved: false }))];
        });
    };
    const applyChange = (change: RowChange): void => {
        if (change.isRemoved) {
            rows.delete(change.key);
        }
        else {
            rows.set(change.key, change);
        }
    };
    return {
        rows: () => rows,
        update: async wait => {
            if (knownVersion === undefined || performance.now() - fullReadAt > fullReadInterval) {
                return readAll();
            }
            const changes = await store.follow(table, knownVersion, wait);
            if (changes.isErr) {
                return changes.error.kind === "history-gone" ? readAll() : Result.err(changes.error);
            }
            if (changes.value.rows.length === feedPageSize) {
                return readAll();
            }
            const partitionChanges = changes.value.rows.filter(row => row.partition === partition);
            partitionChanges.forEach(applyChange);
            knownVersion = Math.max(knownVersion, changes.value.version);
            return Result.ok(partitionChanges);
        },
    };
};
