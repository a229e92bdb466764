import type { CellId, JobId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";
import pino from "pino";
import { Result } from "true-myth";

import type { CellLease } from "../src/cell/cell-lease.js";
import { rowKeys } from "../src/cell/row-keys.js";
import { createWorkflowIntake } from "../src/cell/workflow-intake.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import type { Workflow } from "../src/model/workflow.js";
import type { RowKey, StateStore, StoredRow, StoreError } from "../src/port/state-store.js";
import { testQueue } from "./test-queue.js";

const cell = "east-a/0" as CellId;
const id = "00000000000000a1" as JobId;
const workflow: Workflow = { id, queue: testQueue, payload: "", steps: [createStep()], acceptedAt: 0 };
const values: readonly (readonly [RowKey, string])[] = [
    [rowKeys.arrival(cell, id), "{}"],
    [rowKeys.workflow(cell, id), JSON.stringify(workflow)],
    [rowKeys.progress(cell, id), JSON.stringify(createWorkflowLedger(workflow).progress())],
];

describe("a workflow that moves away while a write that adds it has no answer", () => {
    // Guards against two runs of one task: a late answer of the store brings a workflow back that another cell runs.
    it.each(["submission", "arrival"])("is not added by the answer to its %s", async kind => {
        const added: string[] = [];
        let answer: (written: Result<number, StoreError>) => void = () => undefined;
        let rows: readonly StoredRow[] = values.map(([key, value]) => ({ ...key, value, version: 5 }));
        const store: Partial<StateStore> = {
            limits: { entries: 100, bytes: 100_000, valueBytes: 10_000 },
            read: (table, partition, key) =>
                Promise.resolve(Result.ok({
                    rows: rows.filter(row => row.table === table && row.partition === partition && row.key === key),
                    version: 5,
                })),
            commit: () =>
                new Promise(resolve => {
                    answer = resolve;
                }),
        };
        const lease: Partial<CellLease> = {
            cell,
            epoch: 1,
            check: { ...rowKeys.holder(cell), version: 1 },
            renew: () => Promise.resolve(true),
            trackCall: () => () => undefined,
            isLost: () => false,
            isStoreFailing: () => false,
        };
        const intake = createWorkflowIntake({
            store: store as StateStore,
            lease: lease as CellLease,
            logger: pino({ level: "silent" }),
            metrics: {
                submissions: { inc: () => undefined },
                submissionGroups: { observe: () => undefined },
            } as never,
            lateWriteTime: 1_000,
            stateOf: () => undefined,
            onStored: stored => {
                added.push(stored.workflow.id);
            },
            signal: new AbortController().signal,
        });
        const outcome = kind === "submission" ? intake.submit(workflow) : intake.addArrived(id);
        await new Promise(resolve => {
            setImmediate(resolve);
        });
        // Another request has added it meanwhile, and it has moved to another cell.
        rows = [];
        intake.recordDeparture(id);
        answer(Result.ok(6));
        await outcome;
        expect(added).toEqual([]);
    });
});
