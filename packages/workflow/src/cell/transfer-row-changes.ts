import type { CellId, JobId } from "@jayfront/world";

import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { RowKey, StoredRow, Transaction } from "../port/state-store.js";
import { rowKeys } from "./row-keys.js";
import type { TransferRow } from "./transfer-row.js";

/** Changes of the transfer rows of this cell's workflows, and the versions that the rows have in the store. */
export interface TransferRowChanges {
    /** The changes that make the workflow's transfer rows agree with its ledger. */
    readonly of: (ledger: WorkflowLedger) => Required<Transaction>;
    /** Takes over the versions after these changes were stored with the version `version`. */
    readonly recordStored: (id: JobId, changes: Required<Transaction>, version: number) => void;
    /** Takes over the versions of a conflict; returns the rows that another holder has changed, by its cell. */
    readonly resolveConflict: (
        ledger: WorkflowLedger,
        find: (key: RowKey) => StoredRow | undefined,
    ) => readonly (readonly [CellId, StoredRow])[];
    /** Takes over the version of a row that was read; false if the same or a later state of the row is known. */
    readonly recordRead: (id: JobId, other: CellId, version: number) => boolean;
    /** Drops the versions of a workflow that is no longer kept in memory. */
    readonly forget: (id: JobId) => void;
}

/** Last known state of a row in the store. */
interface RowState {
    /** Version of the row; 0 if it is absent. */
    readonly version: number;
    /** Version of the store that made it so; rows of earlier versions are out of date. */
    readonly since: number;
}

/** Creates the changes for a cell; rows that earlier holders wrote are read on the first conflict with them. */
export const createTransferRowChanges = (cell: CellId): TransferRowChanges => {
    /** States of the rows by workflow and cell, as far as known. */
    const states = new Map<JobId, Map<CellId, RowState>>();
    const stateOf = (id: JobId, other: CellId): RowState => states.get(id)?.get(other) ?? { version: 0, since: 0 };
    const versionOf = (id: JobId, other: CellId): number => stateOf(id, other).version;
    const setState = (id: JobId, other: CellId, state: RowState): void => {
        states.set(id, (states.get(id) ?? new Map<CellId, RowState>()).set(other, state));
    };
    /** Cells that run tasks of the workflow, or that have given all of them back since the row was last written. */
    const cellsWithRow = ({ workflow: { id }, transfers }: WorkflowLedger): readonly CellId[] =>
        [...transfers()].filter(([other, tasks]) => tasks.length > 0 || versionOf(id, other) > 0)
            .map(([other]) => other);
    return {
        of: ledger => {
            const { workflow, transfers, isSettled } = ledger;
            if (isSettled()) {
                // Rows are removed without a check, also those of which it is not known whether they are still there.
                const removals = [...transfers().keys()].map(other => rowKeys.transfer(other, workflow.id));
                return { checks: [], writes: [], removals };
            }
            const cells = cellsWithRow(ledger);
            const tasksOf = (other: CellId): TransferRow["tasks"] =>
                (transfers().get(other) ?? []).map(task => ({ ...task, isReturned: false }));
            const isEmpty = (other: CellId): boolean => tasksOf(other).length === 0;
            return {
                checks: cells.map(other => ({
                    ...rowKeys.transfer(other, workflow.id),
                    version: versionOf(workflow.id, other),
                })),
                writes: cells.filter(other => !isEmpty(other)).map(other => ({
                    ...rowKeys.transfer(other, workflow.id),
                    value: JSON.stringify({ home: cell, workflow, tasks: tasksOf(other) } satisfies TransferRow),
                })),
                removals: cells.filter(isEmpty).map(other => rowKeys.transfer(other, workflow.id)),
            };
        },
        recordStored: (id, { writes, removals }, version) => {
            writes.forEach(({ partition }) => {
                setState(id, partition as CellId, { version, since: version });
            });
            removals.forEach(({ partition }) => {
                setState(id, partition as CellId, { version: 0, since: version });
            });
        },
        resolveConflict: (ledger, find) => {
            const { id } = ledger.workflow;
            return cellsWithRow(ledger).flatMap(other => {
                const row = find(rowKeys.transfer(other, id));
                const { version, since } = stateOf(id, other);
                const isChanged = version !== (row?.version ?? 0);
                setState(id, other, { version: row?.version ?? 0, since: row?.version ?? since });
                return row !== undefined && isChanged ? [[other, row] as const] : [];
            });
        },
        recordRead: (id, other, version) => {
            const isNewer = version > stateOf(id, other).since;
            if (isNewer) {
                setState(id, other, { version, since: version });
            }
            return isNewer;
        },
        forget: id => {
            states.delete(id);
        },
    };
};
