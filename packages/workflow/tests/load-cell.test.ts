import type { CellId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";
import pino from "pino";
import { Result } from "true-myth";

import { loadCell } from "../src/cell/load-cell.js";
import { rowKeys } from "../src/cell/row-keys.js";
import { readStoredWorkflow } from "../src/cell/stored-workflow.js";
import { readHolderRow } from "../src/cell/take-cell.js";
import { createStep } from "../src/model/create-step.js";
import type { RowKey, StateStore, StoredRow } from "../src/port/state-store.js";
import { testQueue } from "./test-queue.js";

const cell = "all" as CellId;
const logger = pino({ level: "silent" });
const rowOf = (key: RowKey, value: unknown): StoredRow => ({
    ...key,
    value: typeof value === "string" ? value : JSON.stringify(value),
    version: 1,
});
const workflowRow = (id: string, changes: object = {}): StoredRow =>
    rowOf(rowKeys.workflow(cell, id as never), {
        id,
        queue: testQueue,
        payload: "",
        steps: [createStep()],
        acceptedAt: 0,
        ...changes,
    });
const storeOf = (rows: readonly StoredRow[]): StateStore => ({
    read: (table, partition, key) =>
        Promise.resolve(Result.ok({
            rows: rows.filter(row =>
                row.table === table && row.partition === partition && (key === undefined || row.key === key)
            ),
            version: 1,
        })),
    commit: () => Promise.resolve(Result.ok(1)),
    follow: () => Promise.resolve(Result.ok({ rows: [], version: 1 })),
    limits: { entries: 100, bytes: 1_000_000, valueBytes: 65_536 },
    reconnect: () => undefined,
});

describe("loading a cell", () => {
    const good = workflowRow("a1");
    // Guards against a cell that no host can load any more, because a single row in it is not valid.
    it.each<[string, StoredRow]>([
        ["a workflow that is not JSON", rowOf(rowKeys.workflow(cell, "b2" as never), "{")],
        ["a workflow without steps", workflowRow("b2", { steps: [] })],
        ["a workflow with a step of another type", workflowRow("b2", { steps: ["step"] })],
        ["a workflow under another id", { ...workflowRow("b2"), key: "b3" }],
        ["a workflow that is null", rowOf(rowKeys.workflow(cell, "b2" as never), "null")],
        ["unanswered starts that are not valid", rowOf(rowKeys.unansweredStarts(cell), { starts: [["a1"]] })],
    ])("leaves out %s", async (...[, row]) => {
        const loaded = await loadCell(storeOf([good, row]), cell, logger);
        const { ledgers = [], unansweredStarts } = loaded.unwrapOr(undefined as never) ?? {};
        expect(ledgers.map(({ ledger }) => ledger.workflow.id)).toEqual(["a1"]);
        expect(unansweredStarts?.starts).toEqual([]);
    });

    // Guards against tasks that run again, because the record of those that are done can't be read.
    it("leaves out a workflow whose progress is not valid", async () => {
        const progress = rowOf(rowKeys.progress(cell, "b2" as never), { steps: [{ done: "all" }] });
        const loaded = await loadCell(storeOf([good, workflowRow("b2"), progress]), cell, logger);
        expect(loaded.map(({ ledgers }) => ledgers.map(({ ledger }) => ledger.workflow.id)).unwrapOr([]))
            .toEqual(["a1"]);
    });

    // Guards against tasks that run in two places: only the roster names the workers on which they may run.
    it("fails while the roster is not valid", async () => {
        const loaded = await loadCell(storeOf([good, rowOf(rowKeys.roster(cell), "[{")]), cell, logger);
        expect(loaded.isErr).toBe(true);
    });
});

describe("reading a workflow", () => {
    // Guards against a request without an answer, because the read of its workflow fails with an exception.
    it.each<[string, StoredRow]>([
        ["open", rowOf(rowKeys.workflow(cell, "b2" as never), "{")],
        ["ended", rowOf(rowKeys.settled(cell, "b2" as never), { state: "gone" })],
    ])("has an unknown outcome if the row of an %s one is not valid", async (...[, row]) => {
        const read = await readStoredWorkflow(storeOf([row]), cell, "b2" as never);
        expect(read.isErr && read.error.kind).toBe("unknown");
    });
});

describe("reading the holder of a cell", () => {
    // Guards against a review of cells that ends with an exception each time.
    it("has an unknown outcome if the row is not valid", async () => {
        const read = await readHolderRow(storeOf([rowOf(rowKeys.holder(cell), { epoch: "2" })]), cell);
        expect(read.isErr && read.error.kind).toBe("unknown");
    });
});
