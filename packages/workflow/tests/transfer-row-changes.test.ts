import type { CellId, JobId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";

import { rowKeys } from "../src/cell/row-keys.js";
import { createTransferRowChanges } from "../src/cell/transfer-row-changes.js";
import type { WorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import type { RowKey, StoredRow } from "../src/port/state-store.js";
import { testQueue } from "./test-queue.js";

const cell = "east-a/0" as CellId;
const other = "east-b/0" as CellId;
const id = "00000000000000aa" as JobId;
const key = rowKeys.transfer(other, id);
const position = { occurrence: 0, step: 0, index: 1 };

const createLedger = (): WorkflowLedger => {
    const steps = [createStep({ count: 2, isLasting: true })];
    const ledger = createWorkflowLedger({ id, queue: testQueue, payload: "", steps, acceptedAt: 0 });
    ledger.recordTransfer({ ...position, lastRun: 3 }, other);
    return ledger;
};
const findRow = (row: StoredRow) => (wanted: RowKey): StoredRow | undefined =>
    wanted.partition === row.partition ? row : undefined;

describe("changes of transfer rows", () => {
    it("write a new row, then check the version that it got", () => {
        const changes = createTransferRowChanges(cell);
        const ledger = createLedger();
        const first = changes.of(ledger);
        expect(first).toMatchObject({ checks: [{ ...key, version: 0 }], writes: [key], removals: [] });
        changes.recordStored(id, first, 12);
        expect(changes.of(ledger).checks).toEqual([{ ...key, version: 12 }]);
    });

    // Guards against two runs of one task: a write that does not know of a return takes the mark off again.
    it("find a row that the other cell's holder has changed, once", () => {
        const changes = createTransferRowChanges(cell);
        const ledger = createLedger();
        changes.recordStored(id, changes.of(ledger), 12);
        const row = { ...key, version: 15, value: "" };
        expect(changes.resolveConflict(ledger, findRow(row))).toEqual([[other, row]]);
        expect(changes.resolveConflict(ledger, findRow(row))).toEqual([]);
        expect(changes.of(ledger).checks).toEqual([{ ...key, version: 15 }]);
    });

    // Guards against a read that was overtaken by a write and would undo what the write changed.
    it("ignore a read of an earlier version", () => {
        const changes = createTransferRowChanges(cell);
        changes.recordStored(id, changes.of(createLedger()), 12);
        expect(changes.recordRead(id, other, 11)).toBe(false);
        expect(changes.recordRead(id, other, 13)).toBe(true);
    });

    // Guards against a return that is applied twice, by a read that was answered after the row had been removed.
    it("ignore a read of the known version, and of any version from before the removal", () => {
        const changes = createTransferRowChanges(cell);
        const ledger = createLedger();
        changes.recordStored(id, changes.of(ledger), 12);
        expect(changes.recordRead(id, other, 13)).toBe(true);
        expect(changes.recordRead(id, other, 13)).toBe(false);
        ledger.recordReturn({ ...position, lastRun: 3 }, other);
        changes.recordStored(id, changes.of(ledger), 14);
        expect(changes.recordRead(id, other, 13)).toBe(false);
    });

    it("remove the row once all tasks are back, or the workflow has ended", () => {
        const changes = createTransferRowChanges(cell);
        const ledger = createLedger();
        changes.recordStored(id, changes.of(ledger), 12);
        ledger.recordReturn({ ...position, lastRun: 3 }, other);
        const removal = changes.of(ledger);
        expect(removal).toEqual({ checks: [{ ...key, version: 12 }], writes: [], removals: [key] });
        changes.recordStored(id, removal, 13);
        expect(changes.of(ledger)).toEqual({ checks: [], writes: [], removals: [] });
        const ended = createLedger();
        ended.recordCancellation();
        expect(changes.of(ended)).toEqual({ checks: [], writes: [], removals: [key] });
    });

    // Guards against a row that stays for ever: the workflow ended after its last task was returned, and the write of
    // that end found an earlier write without answer, whose conflict does not tell the versions of unchecked rows.
    it("remove the row of a workflow that ended after a conflict", () => {
        const changes = createTransferRowChanges(cell);
        const ledger = createLedger();
        changes.recordStored(id, changes.of(ledger), 12);
        ledger.recordReturn({ ...position, lastRun: 3 }, other);
        ledger.recordCancellation();
        changes.resolveConflict(ledger, () => undefined);
        expect(changes.of(ledger)).toEqual({ checks: [], writes: [], removals: [key] });
    });
});
