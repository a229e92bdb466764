import type { CellId } from "@jayfront/world";
import { Result } from "true-myth";
import { z } from "zod";

import type { StateStore, StoredRow, StoreError } from "../port/state-store.js";
import type { CellHolder } from "./cell-lease.js";
import { rowKeys } from "./row-keys.js";

/** The holder row of a cell, with the version that a conditional write has to check. */
export interface HolderRow {
    /** Undefined if the row is absent. */
    readonly holder: CellHolder | undefined;
    /** {@link absentVersion} if the row is absent. */
    readonly version: number;
}

/** Version that stands for an absent row; a check of it requires that the row is absent. */
export const absentVersion = 0;

const holderRow = z.object({ epoch: z.int(), host: z.string() });

/** Decodes a holder row. Its epoch has to be known: workers refuse the orders of a holder with a lower one. */
const decodeHolder = (cell: CellId, row: StoredRow): Result<CellHolder, StoreError> => {
    try {
        return Result.ok(holderRow.parse(JSON.parse(row.value)));
    }
    catch (error) {
        const message = `the holder row of cell ${cell} is not valid; restore it: ${String(error)}`;
        return Result.err({ kind: "unknown", message });
    }
};

/** Reads the holder row of a cell; the outcome is `unknown` if it is not valid. */
export const readHolderRow = async (store: StateStore, cell: CellId): Promise<Result<HolderRow, StoreError>> => {
    const key = rowKeys.holder(cell);
    const read = await store.read(key.table, key.partition, key.key);
    return read.andThen(({ rows: [row] }): Result<HolderRow, StoreError> =>
        row === undefined
            ? Result.ok({ holder: undefined, version: absentVersion })
            : decodeHolder(cell, row).map(holder => ({ holder, version: row.version }))
    );
};

/**
 * Makes `host` the holder of the cell if its holder row still has the version of `row`, with the next higher epoch.
 * Resolves to the new row; a `conflict` error means that the row has changed since it was read.
 */
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
        // Every change of holder raises the epoch, so only this write can have stored this host with this epoch.
        const current = await readHolderRow(store, cell);
        const isOurs = current.isOk
            && current.value.holder?.epoch === holder.epoch
            && current.value.holder.host === host;
        return isOurs ? current : Result.err(written.error);
    }
    return written.map(version => ({ holder, version }));
};
