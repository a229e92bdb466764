import type { CellId, JobId } from "@jayfront/world";
import { Result } from "true-myth";

import type { WorkflowProgress } from "../ledger/workflow-progress.js";
import { workflowProgress } from "../ledger/workflow-progress.js";
import type { Workflow } from "../model/workflow.js";
import type { StateStore, StoreError } from "../port/state-store.js";
import type { SettledWorkflow } from "./settled-workflow.js";
import { settledWorkflow } from "./settled-workflow.js";
import { tables } from "./tables.js";

/** A workflow as its rows in one cell show it. */
export type StoredWorkflow =
    | {
        readonly kind: "open";
        readonly workflow: Workflow;
        readonly progress: WorkflowProgress | undefined;
        /** Version of the progress row; 0 where there is none. */
        readonly progressVersion: number;
    }
    | { readonly kind: "ended"; readonly state: SettledWorkflow["state"]; }
    | { readonly kind: "absent"; };

/** Reads the rows of a workflow in the cell that the index names. */
export const readStoredWorkflow = async (
    store: StateStore,
    cell: CellId,
    id: JobId,
): Promise<Result<StoredWorkflow, StoreError>> => {
    const read = async (
        { table, partition, key }: ReturnType<typeof tables.workflow>,
    ): ReturnType<StateStore["read"]> => await store.read(table, partition, key);
    const [open, progress] = await Promise.all([
        read(tables.workflow(cell, id)),
        read(tables.progress(cell, id)),
    ]);
    if (open.isErr || progress.isErr) {
        return Result.err(open.isErr ? open.error : (progress as { readonly error: StoreError; }).error);
    }
    const [row] = open.value.rows;
    const [progressRow] = progress.value.rows;
    if (row !== undefined) {
        return Result.ok({
            kind: "open",
            workflow: JSON.parse(row.value) as Workflow,
            progress: progressRow === undefined ? undefined : workflowProgress.parse(JSON.parse(progressRow.value)),
            progressVersion: progressRow?.version ?? 0,
        });
    }
    // One transaction puts this row in the place of the other, so that it has to be read after it.
    const ended = await read(tables.settled(cell, id));
    return ended.map(({ rows: [end] }): StoredWorkflow =>
        end === undefined
            ? { kind: "absent" }
            : { kind: "ended", state: settledWorkflow.parse(JSON.parse(end.value)).state }
    );
};
