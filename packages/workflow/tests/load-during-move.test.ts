import type { CellId, JobId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";
import pino from "pino";
import { Result } from "true-myth";

import { loadCell } from "../src/cell/load-cell.js";
import { rowKeys } from "../src/cell/row-keys.js";
import { readStoredWorkflow } from "../src/cell/stored-workflow.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import type { Workflow } from "../src/model/workflow.js";
import type { StateStore, StoredRow } from "../src/port/state-store.js";
import { testQueue } from "./test-queue.js";

const cell = "east-a/0" as CellId;
const id = "00000000000000a1" as JobId;
const workflow: Workflow = { id, queue: testQueue, payload: "", steps: [createStep()], acceptedAt: 0 };
const position = { occurrence: 0, step: 0, index: 0 };

/** A store in which a workflow with a failed run moves to `cell` after the progress has been read, in one transaction. */
const storeWithMove = (): StateStore => {
    const ledger = createWorkflowLedger(workflow);
    ledger.recordFailure(position, 7);
    let rows: readonly StoredRow[] = [];
    const moved: readonly StoredRow[] = [
        { ...rowKeys.workflow(cell, id), value: JSON.stringify(workflow), version: 5 },
        { ...rowKeys.progress(cell, id), value: JSON.stringify(ledger.progress()), version: 5 },
        { ...rowKeys.arrival(cell, id), value: "{}", version: 5 },
    ];
    return {
        limits: { entries: 100, bytes: 100_000, valueBytes: 10_000 },
        read: async (table: string, partition: string, key?: string) => {
            if (table !== "progress") {
                // Any moment between the call and its answer.
                await sleep(5);
            }
            const found = rows.filter(row =>
                row.table === table && row.partition === partition && (key === undefined || row.key === key)
            );
            if (table === "progress") {
                rows = moved;
            }
            return Result.ok({ rows: found, version: 5 });
        },
    } as unknown as StateStore;
};

describe("a workflow that moves to a cell while its rows are read there", () => {
    // Guards against more attempts than the queue allows, and against a second run of a task that is done.
    it("is not loaded without its progress by the cell's next holder", async () => {
        const loaded = await loadCell(storeWithMove(), cell, pino({ level: "silent" }));
        const failures = loaded.unwrapOr(undefined as never).ledgers
            .map(({ ledger }) => ledger.progress().steps.flatMap(step => step.failures));
        expect(failures.every(each => each.length === 1)).toBe(true);
    });

    // Guards against the same, where a holder is asked for the workflow.
    it("is not read without its progress", async () => {
        const read = (await readStoredWorkflow(storeWithMove(), cell, id)).unwrapOr(undefined as never);
        expect(read.kind === "open" && read.progress === undefined).toBe(false);
    });
});
