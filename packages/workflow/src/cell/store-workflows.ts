import type { CellId, JobId } from "@jayfront/world";
import type { Logger } from "pino";

import type { Workflow } from "../model/workflow.js";
import type { RowKey, StateStore, StoredRow, StoreError, TransactionLimits } from "../port/state-store.js";
import type { CellLease } from "./cell-lease.js";
import { indexValue } from "./index-value.js";
import { rowKeys } from "./row-keys.js";

/** Result of one attempt to store a workflow. */
export type StoreAttempt =
    /**
     * This attempt wrote nothing. `throttled`: the store has too many calls, so that another attempt may succeed
     * shortly. `not-written`: the index has the id of another workflow in the same transaction. `rejected`: the store
     * does not accept the contents of the transaction. `refused`: any other reason.
     */
    | { readonly kind: "refused" | "rejected" | "throttled" | "not-written"; }
    /** The write of this attempt may have taken effect, or may do so later. */
    | { readonly kind: "unknown"; }
    /**
     * No write of this or an earlier attempt can take effect any more, since another host holds the cell or the longest
     * delay of a write has passed.
     */
    | { readonly kind: "impossible"; }
    | { readonly kind: "stored"; readonly workflow: Workflow; }
    /** The id was cancelled before it was stored, so that no cell ever stores it. */
    | { readonly kind: "cancelled"; }
    /** The index already names `cell` for this id, which is this cell or another one. */
    | { readonly kind: "indexed"; readonly cell: CellId; readonly id: JobId; };

/** A workflow as it is written to the store. */
export interface EncodedWorkflow {
    readonly workflow: Workflow;
    /** Value of its row. */
    readonly value: string;
}

/** Options of {@link storeWorkflows}. */
export interface StoreWorkflowsOptions {
    readonly store: StateStore;
    readonly lease: CellLease;
    /** Within the limits of the store, each with another id. */
    readonly workflows: readonly EncodedWorkflow[];
    readonly logger: Logger;
}

/** Entries of a transaction that a workflow takes: the check and the write of its index row, and its own row. */
const entriesPerWorkflow = 3;
/** Workflows that one transaction can store beside the check of the lease. */
export const maxWorkflowsPerTransaction = ({ entries }: TransactionLimits): number =>
    Math.floor((entries - 1) / entriesPerWorkflow);

/** Outcome of an attempt whose call failed with this error. */
const outcomeByError: Record<
    Exclude<StoreError["kind"], "conflict">,
    "refused" | "rejected" | "throttled" | "unknown"
> = {
    refused: "refused",
    rejected: "rejected",
    throttled: "throttled",
    "history-gone": "refused",
    unknown: "unknown",
};

const findRow = (rows: readonly StoredRow[], { table, key }: RowKey): StoredRow | undefined =>
    rows.find(row => row.table === table && row.key === key);

/**
 * Tries once to store workflows, all in one transaction. Fails for all of them if the index already has the id of one;
 * the others then get `not-written` and can be stored by another attempt. No workflow is ever stored twice.
 */
export const storeWorkflows = async (
    { store, lease, workflows, logger }: StoreWorkflowsOptions,
): Promise<ReadonlyMap<JobId, StoreAttempt>> => {
    const attemptsBy = (attemptOf: (id: JobId, workflow: Workflow) => StoreAttempt): Map<JobId, StoreAttempt> =>
        new Map(workflows.map(({ workflow }) => [workflow.id, attemptOf(workflow.id, workflow)]));
    const recordProof = lease.trackCall();
    const written = await store.commit({
        checks: [lease.check, ...workflows.map(({ workflow: { id } }) => ({ ...rowKeys.index(id), version: 0 }))],
        writes: workflows.flatMap(({ workflow: { id }, value }) => [
            { ...rowKeys.index(id), value: indexValue.encode({ kind: "stored", cell: lease.cell }) },
            { ...rowKeys.workflow(lease.cell, id), value },
        ]),
    });
    if (written.isOk) {
        recordProof();
        return attemptsBy((...[, workflow]) => ({ kind: "stored", workflow }));
    }
    const { error } = written;
    if (error.kind !== "conflict") {
        if (error.kind !== "throttled" && error.kind !== "rejected") {
            lease.recordStoreFailure();
        }
        const { cell, epoch } = lease;
        logger.warn({
            jobs: workflows.map(({ workflow }) => workflow.id),
            cell,
            epoch,
            error: error.kind,
            message: error.message,
        }, "storing workflows failed");
        return attemptsBy(() => ({ kind: outcomeByError[error.kind] }));
    }
    const holderRow = findRow(error.rows, lease.check);
    const isSuperseded = holderRow !== undefined && holderRow.version !== lease.check.version;
    if (isSuperseded) {
        lease.markLost("a submission found another holder in the cell's holder row");
    }
    const indexed = new Map(workflows.map(({ workflow: { id } }) => {
        const indexRow = findRow(error.rows, rowKeys.index(id));
        return [id, indexRow && indexValue.decode(indexRow.value)];
    }));
    const isExplained = isSuperseded || [...indexed.values()].some(value => value !== undefined);
    return attemptsBy(id => {
        const value = indexed.get(id);
        if (value?.kind === "cancelled") {
            return value;
        }
        return value !== undefined
            ? { kind: "indexed", cell: value.cell, id }
            : { kind: isSuperseded ? "impossible" : isExplained ? "not-written" : "unknown" };
    });
};
