import type { CellId, JobId } from "@jayfront/world";
import { Result } from "true-myth";

import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import { createWorkflowLedger } from "../ledger/workflow-ledger.js";
import { workflowProgress } from "../ledger/workflow-progress.js";
import type { WorkerEntry } from "../model/worker-entry.js";
import type { Workflow } from "../model/workflow.js";
import type { StateStore, StoredRow, StoreError } from "../port/state-store.js";
import { rosterCodec } from "./roster-codec.js";
import { rowKeys } from "./row-keys.js";
import { startsCodec } from "./starts-codec.js";
import type { StoredStarts } from "./stored-starts.js";

/** Stored state of a cell, as earlier holders left it. */
export interface LoadedCell {
    /** Workflows that have not ended; `progressVersion` is the version of the progress row, 0 if there is none. */
    readonly ledgers: readonly { readonly ledger: WorkflowLedger; readonly progressVersion: number; }[];
    /** Transfer rows of other cells, whose tasks the earlier holders of this cell ran. */
    readonly transferRows: readonly StoredRow[];
    /** Workers on which tasks of the cell may run. */
    readonly roster: readonly WorkerEntry[];
    /** Version of the roster row; 0 if there is none. */
    readonly rosterVersion: number;
    /** Starts of earlier holders that no worker has answered. */
    readonly unansweredStarts: StoredStarts;
    /** Version of the row of unanswered starts; 0 if there is none. */
    readonly unansweredStartsVersion: number;
}

/** Reads a cell's roster, its unanswered starts and all of its workflows that have not ended. Fails if any of the reads fails. */
export const loadCell = async (store: StateStore, cell: CellId): Promise<Result<LoadedCell, StoreError>> => {
    const rosterKey = rowKeys.roster(cell);
    const startsKey = rowKeys.unansweredStarts(cell);
    const transfersKey = rowKeys.transfer(cell, "" as JobId);
    const [workflows, progress, cellRows, transfers] = await Promise.all([
        store.read("workflows", cell),
        store.read("progress", cell),
        store.read(rosterKey.table, rosterKey.partition),
        store.read(transfersKey.table, transfersKey.partition),
    ]);
    if (workflows.isErr) {
        return Result.err(workflows.error);
    }
    if (progress.isErr) {
        return Result.err(progress.error);
    }
    if (cellRows.isErr) {
        return Result.err(cellRows.error);
    }
    if (transfers.isErr) {
        return Result.err(transfers.error);
    }
    const rosterRow = cellRows.value.rows.find(row => row.key === rosterKey.key);
    const startsRow = cellRows.value.rows.find(row => row.key === startsKey.key);
    const progressRows = new Map(progress.value.rows.map(row => [row.key, row]));
    return Result.ok({
        ledgers: workflows.value.rows.map(row => {
            const progressRow = progressRows.get(row.key);
            return {
                ledger: createWorkflowLedger(
                    JSON.parse(row.value) as Workflow,
                    progressRow === undefined ? undefined : workflowProgress.parse(JSON.parse(progressRow.value)),
                ),
                progressVersion: progressRow?.version ?? 0,
            };
        }),
        transferRows: transfers.value.rows,
        roster: rosterCodec.decode(rosterRow?.value ?? "[]"),
        rosterVersion: rosterRow?.version ?? 0,
        unansweredStarts: startsRow === undefined
            ? { restartAge: undefined, starts: [] }
            : startsCodec.decode(startsRow.value),
        unansweredStartsVersion: startsRow?.version ?? 0,
    });
};
