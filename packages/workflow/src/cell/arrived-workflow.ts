import type { CellId, JobId } from "@jayfront/world";

import type { RowKey } from "../port/state-store.js";
import { rowKeys } from "./row-keys.js";

/** The workflow that a row of the table of transfers names as arrived; undefined if it is a transfer row. */
export const arrivedWorkflow = ({ key }: RowKey): JobId | undefined => {
    const prefix = rowKeys.arrival("" as CellId, "" as JobId).key;
    return key.startsWith(prefix) ? key.slice(prefix.length) as JobId : undefined;
};
