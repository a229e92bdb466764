import type { CellId, JobId } from "@jayfront/world";
import { createStopSignal } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import pino from "pino";
import { Result } from "true-myth";

import type { CellLease } from "../src/cell/cell-lease.js";
import type { ProgressWriter } from "../src/cell/progress-writer.js";
import { createProgressWriter } from "../src/cell/progress-writer.js";
import { rowKeys } from "../src/cell/row-keys.js";
import type { WorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import type { StateStore, StoreError, Transaction } from "../src/port/state-store.js";
import { testQueue } from "./test-queue.js";

const cell = "east" as CellId;
const limits = { entries: 100, bytes: 60_000, valueBytes: 20_000 };
const tasks = 10;
const rejected: StoreError = { kind: "rejected", message: "400" };
const idOf = (number: number): JobId => number.toString(16).padStart(16, "0") as JobId;
const bytesOf = ({ writes }: Transaction): number =>
    writes.reduce((sum, { value }) => sum + Buffer.byteLength(value), 0);

describe("writer of progress", () => {
    const stop = createStopSignal();
    let transactions: Transaction[];
    let isDown: boolean;
    /** Workflows whose rows the store does not accept. */
    let unacceptable: Set<string>;
    let storeFailures: number;
    let written: Set<JobId>;
    let writer: ProgressWriter;

    const answer = (transaction: Transaction): Result<number, StoreError> => {
        if (isDown) {
            return Result.err({ kind: "refused", message: "503" });
        }
        transactions.push(transaction);
        const isTooLarge = bytesOf(transaction) > limits.bytes
            || transaction.writes.some(({ key, value }) =>
                unacceptable.has(key) || Buffer.byteLength(value) > limits.valueBytes
            );
        return isTooLarge ? Result.err(rejected) : Result.ok(transactions.length);
    };
    beforeEach(() => {
        jest.useFakeTimers();
        transactions = [];
        isDown = false;
        unacceptable = new Set();
        storeFailures = 0;
        written = new Set();
        const store: Partial<StateStore> = { limits, commit: transaction => Promise.resolve(answer(transaction)) };
        const lease: Partial<CellLease> = {
            cell,
            epoch: 1,
            check: { ...rowKeys.holder(cell), version: 1 },
            trackCall: () => () => undefined,
            recordStoreFailure: () => {
                storeFailures += 1;
            },
        };
        writer = createProgressWriter({
            cell,
            lease: lease as CellLease,
            store: store as StateStore,
            logger: pino({ level: "silent" }),
            onWritten: ledgers => {
                ledgers.forEach(({ workflow }) => written.add(workflow.id));
            },
            onMoved: () => undefined,
            onTransferChanged: () => undefined,
        });
        void writer.run(stop.signal);
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    /** Requests a write of a workflow of which one task is done and the others have checkpoints of this text. */
    const request = (number: number, checkpoint: string): WorkflowLedger => {
        const ledger = createWorkflowLedger({
            id: idOf(number),
            queue: testQueue,
            payload: "",
            steps: [createStep({ count: tasks, isCheckpointing: true })],
            acceptedAt: 0,
        });
        for (let index = 1; index < tasks; index += 1) {
            ledger.recordCheckpoint({ occurrence: 0, step: 0, index }, checkpoint);
        }
        ledger.recordDone({ occurrence: 0, step: 0, index: 0 });
        writer.request(ledger);
        return ledger;
    };

    // Guards against progress that is never stored (review case 2): the rows that gathered while the store was down made
    // a call that it refuses. Counts bytes: a character may have three.
    it.each([["one byte", "c"], ["three bytes", "\u20ac"]])(
        "keeps transactions within the bytes that the store accepts, with characters of %s",
        async (...[, character]) => {
            isDown = true;
            for (let number = 0; number < 40; number += 1) {
                request(number, character.repeat(600));
            }
            await jest.advanceTimersByTimeAsync(1_000);
            isDown = false;
            await jest.advanceTimersByTimeAsync(1_000);
            expect([written.size, Math.max(...transactions.map(bytesOf)) <= limits.bytes]).toEqual([40, true]);
        },
    );

    // Guards against one workflow whose progress the store does not accept, and which keeps that of all others from it.
    it("writes all others if the store does not accept one, and seldom sends that one again", async () => {
        unacceptable.add(idOf(3));
        for (let number = 0; number < 10; number += 1) {
            request(number, "");
        }
        await jest.advanceTimersByTimeAsync(1_000);
        expect([written.size, written.has(idOf(3)), storeFailures]).toEqual([9, false, 0]);
        const before = transactions.length;
        await jest.advanceTimersByTimeAsync(60_000);
        expect(transactions.length - before).toBeLessThanOrEqual(12);
        unacceptable.clear();
        await jest.advanceTimersByTimeAsync(6_000);
        expect(written.size).toBe(10);
    });

    // Guards against a cancellation that waits for the next attempt to store progress that is too large.
    it("writes the end of a workflow at once whose progress the store did not accept", async () => {
        unacceptable.add(idOf(1));
        const ledger = request(1, "");
        await jest.advanceTimersByTimeAsync(1_000);
        unacceptable.clear();
        ledger.recordCancellation();
        writer.request(ledger);
        await jest.advanceTimersByTimeAsync(50);
        expect([...written]).toEqual([idOf(1)]);
    });

    // Guards against a call every few milliseconds for an end state that the store does not accept.
    it("pauses before it sends an end state again", async () => {
        unacceptable.add(idOf(1));
        const ledger = request(1, "");
        ledger.recordCancellation();
        await jest.advanceTimersByTimeAsync(2_000);
        expect(transactions.length).toBeLessThanOrEqual(11);
    });

    // Guards against a workflow whose ends are never stored, since its checkpoints do not fit into a row.
    it("leaves out the longest checkpoints if a row would be too long", async () => {
        const ledger = request(1, "c".repeat(3_000));
        ledger.recordCheckpoint({ occurrence: 0, step: 0, index: 2 }, "short");
        await jest.advanceTimersByTimeAsync(1_000);
        const [row] = transactions.at(-1)?.writes ?? [];
        expect([...written]).toEqual([idOf(1)]);
        expect(Buffer.byteLength(row?.value ?? "")).toBeLessThanOrEqual(limits.valueBytes);
        expect(row?.value).toContain('[2,"short"]');
    });
});
