import type { CellId } from "@jayfront/world";
import { Result } from "true-myth";

import type { StateStore, StoreError } from "../port/state-store.js";
import type { CellHolder } from "./cell-lease.js";
import { rowKeys } from "./row-keys.js";

/** A cell's row, with the version that a conditional write names. */
export interface HolderRow {
    readonly holder: CellHolder | undefined;
    /** {@link absentVersion} where the row is absent. */
    readonly version: number;
}

/** Version by which the store names a row that is absent. */
export const absentVersion = 0;

/** Reads who holds a cell. */
export const readHolderRow = async (store: StateStore, cell: CellId): Promise<Result<HolderRow, StoreError>> => {
    const key = rowKeys.holder(cell);
    const read = await store.read(key.table, key.partition, key.key);
    return read.map(({ rows: [row] }) => ({
        holder: row === undefined ? undefined : JSON.parse(row.value) as CellHolder,
        version: row?.version ?? absentVersion,
    }));
};

/** Makes `host` the holder after the one in `row`; answers the new row. */
export const takeCell = async (
    store: StateStore,
    cell: CellId,
    row: HolderRow,
    host: string,
): Promise<Result<HolderRow, StoreError>> => {
    const key = rowKeys.holder(cell);
    const holder: CellHolder = { epoch: (row.holder?.epoch ?? 0) + 1, host };
    const written = await store.commit({
        checks: [{ ...key, version: row.version }],
        writes: [{ ...key, value: JSON.stringify(holder) }],
    });
    if (written.isErr && written.error.kind === "unknown") {
        // Each taking raises the epoch, so a row with this host and epoch can only be this write.
        const settled = await readHolderRow(store, cell);
        const isOurs = settled.isOk
            && settled.value.holder?.epoch === holder.epoch
            && settled.value.holder.host === host;
        return isOurs ? settled : Result.err(written.error);
    }
    return written.map(version => ({ holder, version }));
};
