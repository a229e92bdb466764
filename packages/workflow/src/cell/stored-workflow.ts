import type { CellId, JobId } from "@jayfront/world";
import { Result } from "true-myth";

import type { RowKey, StateStore, StoredRow, StoreError } from "../port/state-store.js";
import type { OpenWorkflow } from "./decode-open-workflow.js";
import { decodeOpenWorkflow } from "./decode-open-workflow.js";
import { decodeSettledWorkflow } from "./decode-settled-workflow.js";
import { rowKeys } from "./row-keys.js";
import type { SettledWorkflow } from "./settled-workflow.js";

/** A workflow as read from its rows in one cell; `absent` if the cell has none. */
export type StoredWorkflow =
    | OpenWorkflow
    | { readonly kind: "ended"; readonly state: SettledWorkflow["state"]; }
    | { readonly kind: "absent"; };

/** The outcome of a read that found a row which is not valid. */
const invalidRow = (message: string): StoreError => ({ kind: "unknown", message });

/** Reads the rows of a workflow in `cell`; the outcome is `unknown` if they are not valid. */
export const readStoredWorkflow = async (
    store: StateStore,
    cell: CellId,
    id: JobId,
): Promise<Result<StoredWorkflow, StoreError>> => {
    const readRow = async ({ table, partition, key }: RowKey): Promise<Result<StoredRow | undefined, StoreError>> =>
        (await store.read(table, partition, key)).map(({ rows: [row] }) => row);
    const readEnd = async (): Promise<Result<StoredWorkflow, StoreError>> =>
        (await readRow(rowKeys.settled(cell, id))).andThen(row =>
            row === undefined
                ? Result.ok<StoredWorkflow, StoreError>({ kind: "absent" })
                : decodeSettledWorkflow(row)
                    .map(({ state }): StoredWorkflow => ({ kind: "ended", state }))
                    .mapErr(invalidRow)
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
    if (workflowRow.value === undefined) {
        // The end of a workflow replaces its rows in one transaction, which may have been committed between the reads.
        return readEnd();
    }
    // Another cell may have moved the workflow here with its progress between the reads.
    const latestProgress = progress.value === undefined ? await readRow(rowKeys.progress(cell, id)) : progress;
    const openRow = workflowRow.value;
    return latestProgress.andThen(row => decodeOpenWorkflow(openRow, row).mapErr(invalidRow));
};
