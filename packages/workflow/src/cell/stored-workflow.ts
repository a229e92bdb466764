import type { CellId, JobId } from "@jayfront/world";
import { Result } from "true-myth";

import type { WorkflowProgress } from "../ledger/workflow-progress.js";
import { workflowProgress } from "../ledger/workflow-progress.js";
import type { Workflow } from "../model/workflow.js";
import type { RowKey, StateStore, StoredRow, StoreError } from "../port/state-store.js";
import { rowKeys } from "./row-keys.js";
import type { SettledWorkflow } from "./settled-workflow.js";
import { settledWorkflow } from "./settled-workflow.js";

/** A workflow that has not ended, as its rows show it. */
export interface OpenWorkflow {
    readonly kind: "open";
    readonly workflow: Workflow;
    readonly progress: WorkflowProgress | undefined;
    /** Version of the progress row; 0 where there is none. */
    readonly progressVersion: number;
}

/** A workflow as its rows in one cell show it. */
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

/** Reads the rows of a workflow in the cell that the index names. */
export const readStoredWorkflow = async (
    store: StateStore,
    cell: CellId,
    id: JobId,
): Promise<Result<StoredWorkflow, StoreError>> => {
    const read = async ({ table, partition, key }: RowKey): Promise<Result<StoredRow | undefined, StoreError>> =>
        (await store.read(table, partition, key)).map(({ rows: [row] }) => row);
    const readEnd = async (): Promise<Result<StoredWorkflow, StoreError>> =>
        (await read(rowKeys.settled(cell, id))).map((row): StoredWorkflow =>
            row === undefined
                ? { kind: "absent" }
                : { kind: "ended", state: settledWorkflow.parse(JSON.parse(row.value)).state }
        );
    const ended = await readEnd();
    if (ended.isErr || ended.value.kind === "ended") {
        return ended;
    }
    const progress = await read(rowKeys.progress(cell, id));
    if (progress.isErr) {
        return Result.err(progress.error);
    }
    const open = await read(rowKeys.workflow(cell, id));
    if (open.isErr) {
        return Result.err(open.error);
    }
    // One transaction puts the row of the end in the place of the others; it may have come between the reads.
    return open.value === undefined ? readEnd() : Result.ok(decodeOpen(open.value, progress.value));
};
