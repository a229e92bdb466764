import type { CellId, JobId } from "@jayfront/world";
import { Result } from "true-myth";

import type { WorkflowProgress } from "../ledger/workflow-progress.js";
import { workflowProgress } from "../ledger/workflow-progress.js";
import type { Workflow } from "../model/workflow.js";
import type { RowKey, StateStore, StoredRow, StoreError } from "../port/state-store.js";
import { rowKeys } from "./row-keys.js";
import type { SettledWorkflow } from "./settled-workflow.js";
import { settledWorkflow } from "./settled-workflow.js";

/** A workflow that has not ended, as read from its rows. */
export interface OpenWorkflow {
    readonly kind: "open";
    readonly workflow: Workflow;
    /** Undefined if no progress has been stored yet. */
    readonly progress: WorkflowProgress | undefined;
    /** Version of the progress row; 0 if there is none. */
    readonly progressVersion: number;
}

/** A workflow as read from its rows in one cell; `absent` if the cell has none. */
export type StoredWorkflow =
    | OpenWorkflow
    | { readonly kind: "ended"; readonly state: SettledWorkflow["state"]; }
    | { readonly kind: "absent"; };

const decodeOpen = (row: StoredRow, progress: StoredRow | undefined): OpenWorkflow => ({
    kind: "open",
    workflow: JSON.parse(row.value) as Workflow,
    progress: progress === undefined ? undefined : workflowProgress.parse(JSON.parse(progress.value)),
    progressVersion: progress?.version ?? 0,
});

/** Reads the rows of a workflow in `cell`. */
export const readStoredWorkflow = async (
    store: StateStore,
    cell: CellId,
    id: JobId,
): Promise<Result<StoredWorkflow, StoreError>> => {
    const readRow = async ({ table, partition, key }: RowKey): Promise<Result<StoredRow | undefined, StoreError>> =>
        (await store.read(table, partition, key)).map(({ rows: [row] }) => row);
    const readEnd = async (): Promise<Result<StoredWorkflow, StoreError>> =>
        (await readRow(rowKeys.settled(cell, id))).map((row): StoredWorkflow =>
            row === undefined
                ? { kind: "absent" }
                : { kind: "ended", state: settledWorkflow.parse(JSON.parse(row.value)).state }
        );
    const ended = await readEnd();
    if (ended.isErr || ended.value.kind === "ended") {
        return ended;
    }
    const progress = await readRow(rowKeys.progress(cell, id));
    if (progress.isErr) {
        return Result.err(progress.error);
    }
    const workflowRow = await readRow(rowKeys.workflow(cell, id));
    if (workflowRow.isErr) {
        return Result.err(workflowRow.error);
    }
    // The end of a workflow replaces its rows in one transaction, which may have been committed between the reads.
    return workflowRow.value === undefined ? readEnd() : Result.ok(decodeOpen(workflowRow.value, progress.value));
};
