import type { CellId, JobId } from "@jayfront/world";
import type { Logger } from "pino";

import type { Workflow } from "../model/workflow.js";
import type { RowKey, StateStore, StoredRow, StoreError } from "../port/state-store.js";
import type { CellLease } from "./cell-lease.js";
import { rowKeys } from "./row-keys.js";

/** Result of one attempt to store a workflow. */
export type StoreAttempt =
    /**
     * `refused`: this attempt wrote nothing. `unknown`: its write may have taken effect, or may do so later.
     * `impossible`: no write of this or an earlier attempt can take effect any more, since another host holds the cell
     * or the longest delay of a write has passed.
     */
    | { readonly kind: "refused" | "unknown" | "impossible"; }
    | { readonly kind: "stored"; readonly workflow: Workflow; }
    /** The index already names `cell` for this id, which is this cell or another one. */
    | { readonly kind: "indexed"; readonly cell: CellId; readonly id: JobId; };

/** Options of {@link storeWorkflow}. */
export interface StoreWorkflowOptions {
    readonly store: StateStore;
    readonly lease: CellLease;
    readonly workflow: Workflow;
    readonly logger: Logger;
}

/** Whether a call that failed with this error has certainly written nothing (`refused`). */
const outcomeByError: Record<Exclude<StoreError["kind"], "conflict">, "refused" | "unknown"> = {
    refused: "refused",
    throttled: "refused",
    "history-gone": "refused",
    unknown: "unknown",
};

const findRow = (rows: readonly StoredRow[], { table, key }: RowKey): StoredRow | undefined =>
    rows.find(row => row.table === table && row.key === key);

/** Tries once to store a workflow if no cell has its id yet; repeated attempts never store it twice. */
export const storeWorkflow = async (options: StoreWorkflowOptions): Promise<StoreAttempt> => {
    const { store, lease, workflow, logger } = options;
    const indexKey = rowKeys.index(workflow.id);
    const recordProof = lease.trackCall();
    const written = await store.commit({
        checks: [lease.check, { ...indexKey, version: 0 }],
        writes: [
            { ...indexKey, value: lease.cell },
            { ...rowKeys.workflow(lease.cell, workflow.id), value: JSON.stringify(workflow) },
        ],
    });
    if (written.isOk) {
        recordProof();
        return { kind: "stored", workflow };
    }
    const { error } = written;
    if (error.kind !== "conflict") {
        lease.recordStoreFailure();
        const { cell, epoch } = lease;
        logger.warn(
            { job: workflow.id, cell, epoch, error: error.kind, message: error.message },
            "storing the workflow failed",
        );
        return { kind: outcomeByError[error.kind] };
    }
    const holderRow = findRow(error.rows, lease.check);
    const indexRow = findRow(error.rows, indexKey);
    const isSuperseded = holderRow !== undefined && holderRow.version !== lease.check.version;
    if (isSuperseded) {
        lease.markLost("a submission found another holder in the cell's holder row");
    }
    if (indexRow !== undefined) {
        return { kind: "indexed", cell: indexRow.value as CellId, id: workflow.id };
    }
    return { kind: isSuperseded ? "impossible" : "unknown" };
};
