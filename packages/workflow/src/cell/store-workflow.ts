import type { CellId, JobId } from "@jayfront/world";
import type { Logger } from "pino";

import type { Workflow } from "../model/workflow.js";
import type { RowKey, StateStore, StoredRow, StoreError } from "../port/state-store.js";
import type { CellLease } from "./cell-lease.js";
import { rowKeys } from "./row-keys.js";

/** What came of one try to store a workflow. */
export type StoreAttempt =
    /** `impossible`: neither this try nor an earlier one can take effect any more; another host holds the cell. */
    | { readonly kind: "refused" | "unknown" | "impossible"; }
    | { readonly kind: "stored"; readonly workflow: Workflow; }
    /** The index has the id already, in this cell or another one. */
    | { readonly kind: "indexed"; readonly cell: CellId; readonly id: JobId; };

/** Options of {@link storeWorkflow}. */
export interface StoreWorkflowOptions {
    readonly store: StateStore;
    readonly lease: CellLease;
    readonly workflow: Workflow;
    readonly logger: Logger;
}

const outcomes: Record<Exclude<StoreError["kind"], "conflict">, "refused" | "unknown"> = {
    refused: "refused",
    throttled: "refused",
    "history-gone": "refused",
    unknown: "unknown",
};

const findRow = (rows: readonly StoredRow[], { table, key }: RowKey): StoredRow | undefined =>
    rows.find(row => row.table === table && row.key === key);

/** Tries once to store a workflow under an id that no cell has; repeating it never stores it twice. */
export const storeWorkflow = async (options: StoreWorkflowOptions): Promise<StoreAttempt> => {
    const { store, lease, workflow, logger } = options;
    const index = rowKeys.index(workflow.id);
    const proven = lease.trackCall();
    const written = await store.commit({
        checks: [lease.check, { ...index, version: 0 }],
        writes: [
            { ...index, value: lease.cell },
            { ...rowKeys.workflow(lease.cell, workflow.id), value: JSON.stringify(workflow) },
        ],
    });
    if (written.isOk) {
        proven();
        return { kind: "stored", workflow };
    }
    const { error } = written;
    if (error.kind !== "conflict") {
        lease.recordStoreFailure();
        const { cell, epoch } = lease;
        logger.warn(
            { job: workflow.id, cell, epoch, error: error.kind, message: error.message },
            "workflow not stored",
        );
        return { kind: outcomes[error.kind] };
    }
    const holder = findRow(error.rows, lease.check);
    const indexed = findRow(error.rows, index);
    const isDeposed = holder !== undefined && holder.version !== lease.check.version;
    if (isDeposed) {
        lease.markLost("a submission found another holder in the cell's row");
    }
    if (indexed !== undefined) {
        return { kind: "indexed", cell: indexed.value as CellId, id: workflow.id };
    }
    return { kind: isDeposed ? "impossible" : "unknown" };
};
