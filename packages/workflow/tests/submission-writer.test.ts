import type { CellId, JobId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import pino from "pino";
import { Registry } from "prom-client";
import { Result } from "true-myth";

import type { CellLease } from "../src/cell/cell-lease.js";
import { rowKeys } from "../src/cell/row-keys.js";
import type { StoreAttempt } from "../src/cell/store-workflows.js";
import type { SubmissionWriter } from "../src/cell/submission-writer.js";
import { createSubmissionWriter } from "../src/cell/submission-writer.js";
import type { Workflow } from "../src/model/workflow.js";
import type { StateStore, StoredRow, StoreError, Transaction } from "../src/port/state-store.js";
import { createWorkflowMetrics } from "../src/workflow-metrics.js";
import { testQueue } from "./test-queue.js";

const cell = "east" as CellId;
const holderKey = rowKeys.holder(cell);
const idOf = (number: number): JobId => number.toString(16).padStart(16, "0") as JobId;
const workflowOf = (number: number, payload = ""): Workflow => ({
    id: idOf(number),
    queue: testQueue,
    payload,
    steps: [],
    acceptedAt: 0,
});

describe("writer of submissions", () => {
    let transactions: Transaction[];
    /** Milliseconds that the store takes to answer. */
    let storeDelay: number;
    /** Results of the next transactions, in order; the others succeed. */
    let failures: (StoreError | undefined)[];
    let writer: SubmissionWriter;

    beforeEach(() => {
        jest.useFakeTimers();
        transactions = [];
        storeDelay = 100;
        failures = [];
        const store: Partial<StateStore> = {
            limits: { entries: 100, bytes: 697_500, valueBytes: 65_536 },
            commit: async transaction => {
                transactions.push(transaction);
                const failure = failures.shift();
                await sleep(storeDelay);
                return failure === undefined ? Result.ok(7) : Result.err(failure);
            },
        };
        const lease: Partial<CellLease> = {
            cell,
            epoch: 3,
            check: { ...holderKey, version: 5 },
            trackCall: () => () => undefined,
            markLost: () => undefined,
            recordStoreFailure: () => undefined,
        };
        writer = createSubmissionWriter({
            store: store as StateStore,
            lease: lease as CellLease,
            logger: pino({ level: "silent" }),
            metrics: createWorkflowMetrics(new Registry()),
        });
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    const submit = (numbers: readonly number[], isAwaited = (): boolean => true): Promise<StoreAttempt>[] =>
        numbers.map(number => writer.store(workflowOf(number), isAwaited));
    const idsIn = ({ writes }: Transaction): string[] =>
        writes.filter(({ table }) => table === "workflows").map(({ key }) => key);
    const kindsOf = async (attempts: readonly Promise<StoreAttempt>[]): Promise<string[]> =>
        (await Promise.all(attempts)).map(({ kind }) => kind);

    // Guards against submitters that time out in a queue of one transaction for each submission.
    it("writes the first submission at once, and those that wait meanwhile together", async () => {
        const attempts = submit([1, 2, 3, 4]);
        await jest.advanceTimersByTimeAsync(2 * storeDelay);
        expect(await kindsOf(attempts)).toEqual(["stored", "stored", "stored", "stored"]);
        expect(transactions.map(idsIn)).toEqual([[idOf(1)], [idOf(2), idOf(3), idOf(4)]]);
        expect(transactions.every(({ checks }) => checks[0]?.key === holderKey.key)).toBe(true);
    });

    it("keeps transactions within the number of entries and the size that the store accepts", async () => {
        const attempts = [
            ...submit(Array.from({ length: 80 }, (...[, index]) => index + 1)),
            writer.store(workflowOf(100, "x".repeat(60_000)), () => true),
            writer.store(workflowOf(101), () => true),
        ];
        await jest.advanceTimersByTimeAsync(20 * storeDelay);
        expect(new Set(await kindsOf(attempts))).toEqual(new Set(["stored"]));
        const entries = transactions.map(({ checks, writes }) => checks.length + writes.length);
        expect(Math.max(...entries)).toBeLessThanOrEqual(100);
        expect(transactions.map(idsIn)).toContainEqual([idOf(100)]);
    });

    // Guards against one id that exists already and makes the store refuse all submissions that share its transaction.
    it("stores the others if the index has the id of one", async () => {
        const indexRow: StoredRow = { ...rowKeys.index(idOf(3)), value: "west", version: 2 };
        const holderRow: StoredRow = { ...holderKey, value: "", version: 5 };
        failures = [undefined, { kind: "conflict", rows: [holderRow, indexRow], message: "412" }];
        const attempts = submit([1, 2, 3, 4]);
        await jest.advanceTimersByTimeAsync(4 * storeDelay);
        expect(await kindsOf(attempts)).toEqual(["stored", "stored", "indexed", "stored"]);
        expect(transactions.map(idsIn)).toEqual([[idOf(1)], [idOf(2), idOf(3), idOf(4)], [idOf(2), idOf(4)]]);
    });

    // Guards against calls of over 1 MB, which the store refuses for all of their submissions: a character may have three
    // bytes.
    it("counts the bytes of a transaction, not its characters", async () => {
        const payload = "\u20ac".repeat(10_000);
        const attempts = Array.from(
            { length: 40 },
            (...[, index]) => writer.store(workflowOf(index + 1, payload), () => true),
        );
        await jest.advanceTimersByTimeAsync(20 * storeDelay);
        const bytes = transactions.map(({ writes }) =>
            writes.reduce((sum, { value }) => sum + Buffer.byteLength(value), 0)
        );
        expect(new Set(await kindsOf(attempts))).toEqual(new Set(["stored"]));
        expect(Math.max(...bytes)).toBeLessThanOrEqual(697_500);
    });

    // Guards against a submission that the store does not accept, and that makes it refuse all of its group.
    it("tries each submission of a group alone that the store did not accept", async () => {
        const rejected: StoreError = { kind: "rejected", message: "400" };
        failures = [undefined, rejected, undefined, rejected];
        const attempts = submit([1, 2, 3, 4]);
        await jest.advanceTimersByTimeAsync(10 * storeDelay);
        expect(await kindsOf(attempts)).toEqual(["stored", "stored", "rejected", "stored"]);
        expect(transactions.map(idsIn)).toEqual([[idOf(1)], [idOf(2), idOf(3), idOf(4)], [idOf(2)], [idOf(3)], [
            idOf(4),
        ]]);
    });

    // Guards against a workflow that is held to its deadline although no row of the store can hold it.
    it("refuses a workflow at once that is larger than a row", async () => {
        expect((await writer.store(workflowOf(1, "x".repeat(65_536)), () => true)).kind).toBe("rejected");
        expect(transactions).toEqual([]);
    });

    // Guards against a submission that is called refused although its transaction may have been carried out.
    it("calls all members of an unanswered transaction unknown", async () => {
        failures = [undefined, { kind: "unknown", message: "no answer" }];
        const attempts = submit([1, 2, 3]);
        await jest.advanceTimersByTimeAsync(2 * storeDelay);
        expect(await kindsOf(attempts)).toEqual(["stored", "unknown", "unknown"]);
    });

    // Guards against workflows that are written although their submitters have been refused or have left.
    it("does not write a submission that nobody waits for any more", async () => {
        const first = submit([1]);
        const given = submit([2], () => false);
        await jest.advanceTimersByTimeAsync(2 * storeDelay);
        expect(await kindsOf([...first, ...given])).toEqual(["stored", "refused"]);
        expect(transactions.map(idsIn)).toEqual([[idOf(1)]]);
    });

    // Guards against a lost answer that holds up all later submissions until it is noticed.
    it("sends a second transaction if the first takes long", async () => {
        storeDelay = 1_000;
        const attempts = submit([1, 2]);
        await jest.advanceTimersByTimeAsync(200);
        expect(transactions.map(idsIn)).toEqual([[idOf(1)], [idOf(2)]]);
        await jest.advanceTimersByTimeAsync(2_000);
        expect(await kindsOf(attempts)).toEqual(["stored", "stored"]);
    });
});
