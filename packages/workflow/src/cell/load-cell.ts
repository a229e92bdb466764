import type { CellId, JobId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import type { Logger } from "pino";
import { Result } from "true-myth";

import type { LedgerLimits, WorkflowLedger } from "../ledger/workflow-ledger.js";
import { createWorkflowLedger } from "../ledger/workflow-ledger.js";
import type { RowKey, StateStore, StoredRow, StoreError } from "../port/state-store.js";
import { decodeOpenWorkflow } from "./decode-open-workflow.js";
import type { RosterEntry } from "./roster-codec.js";
import { rosterCodec } from "./roster-codec.js";
import { rowKeys } from "./row-keys.js";
import { startsCodec } from "./starts-codec.js";
import type { StoredAbsences } from "./stored-starts.js";

/** Stored state of a cell, as earlier holders left it. */
export interface LoadedCell {
    /** Workflows that have not ended; `progressVersion` is the version of the progress row, 0 if there is none. */
    readonly ledgers: readonly { readonly ledger: WorkflowLedger; readonly progressVersion: number; }[];
    /** Transfer rows of other cells, whose tasks the earlier holders of this cell ran. */
    readonly transferRows: readonly StoredRow[];
    /** Workers on which tasks of the cell may run. */
    readonly roster: readonly RosterEntry[];
    /** Version of the roster row; 0 if there is none. */
    readonly rosterVersion: number;
    /** Starts of earlier holders that no worker has answered, and absent tasks. */
    readonly unansweredStarts: StoredAbsences;
    /** Version of the row of unanswered starts; 0 if there is none. */
    readonly unansweredStartsVersion: number;
}

/** Characters of rows that are decoded at a time, so that other cells' heartbeats are sent in between. */
const sliceLength = 262_144;

/** Calls `decode`; if it throws, logs the error and returns `fallback`. */
const decodeOr = <Value>(decode: () => Value, fallback: Value, logError: (error: string) => void): Value => {
    try {
        return decode();
    }
    catch (error) {
        logError(String(error));
        return fallback;
    }
};

/**
 * Reads a cell's roster, its unanswered starts and all of its workflows that have not ended. Fails if any of the reads
 * fails, or if the roster is not valid, since tasks may run on workers that only it names. Other rows that are not valid
 * are logged and left out. `createLimits`: those of each ledger.
 */
export const loadCell = async (
    store: StateStore,
    cell: CellId,
    logger: Logger,
    createLimits?: () => LedgerLimits,
): Promise<Result<LoadedCell, StoreError>> => {
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
    const ledgers: { readonly ledger: WorkflowLedger; readonly progressVersion: number; }[] = [];
    let slice = 0;
    for (const row of workflows.value.rows) {
        const progressRow = progressRows.get(row.key);
        slice += row.value.length + (progressRow?.value.length ?? 0);
        if (slice > sliceLength) {
            slice = 0;
            await sleep(0);
        }
        const decoded = decodeOpenWorkflow(row, progressRow);
        if (decoded.isErr) {
            logger.error({ cell, job: row.key, version: row.version, error: decoded.error }, "stored row left out");
            continue;
        }
        const { workflow, progress: stored, progressVersion } = decoded.value;
        ledgers.push({ ledger: createWorkflowLedger(workflow, stored, createLimits?.()), progressVersion });
    }
    const logInvalid = (row: RowKey) => (error: string): void => {
        logger.error({ cell, table: row.table, key: row.key, error }, "stored row left out");
    };
    const storedRoster = decodeOr(() => rosterCodec.decode(rosterRow?.value ?? "[]"), undefined, logInvalid(rosterKey));
    if (storedRoster === undefined) {
        return Result.err({
            kind: "unknown",
            message: `the row ${rosterKey.key} of cell ${cell} is not valid; restore it, or remove it once no task of `
                + "the cell runs any more",
        });
    }
    const noStarts: StoredAbsences = {
        restartAge: undefined,
        lateSignAge: undefined,
        starts: [],
        hasAllStarts: true,
        absentTasks: [],
        locatedTasks: [],
        epoch: undefined,
    };
    return Result.ok({
        ledgers,
        transferRows: transfers.value.rows,
        roster: storedRoster,
        rosterVersion: rosterRow?.version ?? 0,
        unansweredStarts: startsRow === undefined
            ? noStarts
            : decodeOr(
                () => startsCodec.decode(startsRow.value),
                { ...noStarts, hasAllStarts: false },
                logInvalid(startsKey),
            ),
        unansweredStartsVersion: startsRow?.version ?? 0,
    });
};
