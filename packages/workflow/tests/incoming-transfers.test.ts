import type { CellId, JobId } from "@jayfront/world";
import { createStopSignal } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import pino from "pino";
import { Result } from "true-myth";

import type { CellLease } from "../src/cell/cell-lease.js";
import type { IncomingTransfers } from "../src/cell/incoming-transfers.js";
import { createIncomingTransfers } from "../src/cell/incoming-transfers.js";
import { rowKeys } from "../src/cell/row-keys.js";
import type { StrandedTasks } from "../src/cell/stranded-tasks.js";
import type { TransferRow } from "../src/cell/transfer-row.js";
import { createStep } from "../src/model/create-step.js";
import { taskName } from "../src/model/task-name.js";
import type { StateStore, StoredRow, StoreError, Transaction } from "../src/port/state-store.js";
import { testQueue } from "./test-queue.js";

const cell = "east-b/0" as CellId;
const home = "east-a/0" as CellId;
const id = "00000000000000aa" as JobId;
const key = rowKeys.transfer(cell, id);
/** Milliseconds within which a changed row is read. */
const readTime = 1_100;

const rowOf = (version: number, tasks: readonly Partial<TransferRow["tasks"][number]>[]): StoredRow => ({
    ...key,
    version,
    value: JSON.stringify({
        home,
        workflow: {
            id,
            queue: testQueue,
            payload: "",
            steps: [createStep({ count: 2 }), createStep({ count: 3, isLasting: true, after: [0] })],
            acceptedAt: 0,
        },
        tasks: tasks.map(task => ({ occurrence: 0, step: 1, index: 0, lastRun: 7, isReturned: false, ...task })),
    }),
});

describe("tasks transferred from another cell", () => {
    let rows: StoredRow[];
    let isHolder: boolean;
    let transactions: Transaction[];
    /** Errors of the next transactions, in order; the others succeed. */
    let failures: StoreError[];
    let stranded: StrandedTasks[];
    let stopped: JobId[];
    let returnedTo: CellId[];
    let transfers: IncomingTransfers;
    const stop = createStopSignal();

    beforeEach(() => {
        jest.useFakeTimers();
        rows = [];
        isHolder = true;
        transactions = [];
        failures = [];
        stranded = [];
        stopped = [];
        returnedTo = [];
        const store: Partial<StateStore> = {
            read: () => Promise.resolve(Result.ok({ rows: [...rows], version: 1 })),
            commit: transaction => {
                transactions.push(transaction);
                const failure = failures.shift();
                return Promise.resolve(failure === undefined ? Result.ok(50) : Result.err(failure));
            },
        };
        const lease: Partial<CellLease> = {
            cell,
            epoch: 3,
            check: { ...rowKeys.holder(cell), version: 5 },
            renew: () => Promise.resolve(isHolder),
            trackCall: () => () => undefined,
            recordStoreFailure: () => undefined,
        };
        transfers = createIncomingTransfers({
            lease: lease as CellLease,
            store: store as StateStore,
            otherCells: {
                withFreeCpu: () => [home],
                notifyReturn: other => {
                    returnedTo.push(other);
                },
            },
            findStranded: () => stranded,
            runController: {
                stopWorkflow: job => {
                    stopped.push(job);
                },
                reserveNumbers: () => undefined,
                nextNumber: () => 21,
            },
            logger: pino({ level: "silent" }),
            onArrival: () => undefined,
            addArrived: () => Promise.resolve(true),
        });
        void transfers.run(stop.signal);
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    const read = async (): Promise<void> => {
        await jest.advanceTimersByTimeAsync(readTime);
    };
    const waiting = (): number[] =>
        [...transfers.ledgers.get(id)?.openStages(0, 0)[0]?.record.waiting ?? []].sort((left, right) => left - right);
    /** Makes the task find no room in the cell. */
    const strand = (index: number): void => {
        const ledger = transfers.ledgers.get(id);
        const [stage] = ledger?.openStages(0, 0) ?? [];
        if (ledger !== undefined && stage !== undefined) {
            stranded = [{
                ledger,
                stage,
                since: 0,
                movable: () => [index],
                nameOf: number => taskName({ job: id, occurrence: 0, step: 1, index: number }),
            }];
        }
        transfers.review();
        stranded = [];
    };

    it("wait here, and no other task of their workflow does", async () => {
        rows = [rowOf(10, [{ index: 0 }, { index: 2 }])];
        await read();
        expect(waiting()).toEqual([0, 2]);
        expect(transfers.ledgers.get(id)?.openStages(0, 0)).toHaveLength(1);
    });

    // Guards against two runs of one task: a holder that was deposed, and whose successor has loaded the cell already,
    // starts a task from a row that was written after that.
    it("are not started by a host that can't prove after reading them that it holds the cell", async () => {
        isHolder = false;
        rows = [rowOf(10, [{}])];
        await read();
        expect(transfers.ledgers.size).toBe(0);
    });

    it("stop once their row is gone", async () => {
        rows = [rowOf(10, [{}])];
        await read();
        rows = [];
        await read();
        expect(transfers.ledgers.size).toBe(0);
        expect(stopped).toEqual([id]);
    });

    // Guards against a malformed row that takes the process down or keeps the cell from running valid ones.
    it("are started beside an invalid row", async () => {
        rows = [{ ...rowOf(9, []), key: "00000000000000bb", value: "{" }, rowOf(10, [{}])];
        await read();
        expect([...transfers.ledgers.keys()]).toEqual([id]);
    });

    it("are marked as returned if they find no room any more", async () => {
        rows = [rowOf(10, [{ index: 0 }, { index: 2 }])];
        await read();
        strand(2);
        await jest.advanceTimersByTimeAsync(0);
        expect(waiting()).toEqual([0]);
        expect(transactions).toHaveLength(1);
        expect(transactions[0]?.checks).toContainEqual({ ...key, version: 10 });
        expect(JSON.parse(transactions[0]?.writes[0]?.value ?? "")).toMatchObject({
            tasks: [{ index: 0, isReturned: false }, { index: 2, isReturned: true, lastRun: 20 }],
        });
        expect(returnedTo).toEqual([home]);
    });

    // Guards against two runs of one task: a holder that was deposed returns it while its successor runs it.
    it("are returned only by the holder of the cell", async () => {
        rows = [rowOf(10, [{}])];
        await read();
        strand(0);
        await jest.advanceTimersByTimeAsync(0);
        expect(transactions.map(({ checks }) => checks)).toContainEqual(
            expect.arrayContaining([{ ...rowKeys.holder(cell), version: 5 }]),
        );
    });

    // Guards against two runs of one task: the write that returns it takes effect late, after it was started here again.
    it("stay away after a return without answer, which is repeated", async () => {
        rows = [rowOf(10, [{}])];
        await read();
        failures = [{ kind: "unknown", message: "no answer" }];
        strand(0);
        await jest.advanceTimersByTimeAsync(0);
        expect(waiting()).toEqual([]);
        await read();
        expect(waiting()).toEqual([]);
        expect(transactions).toHaveLength(2);
    });

    // Guards against a task that neither cell runs: its own one transferred another task at the same time.
    it("come back if their row has changed before they were returned", async () => {
        rows = [rowOf(10, [{ index: 0 }])];
        await read();
        rows = [rowOf(11, [{ index: 0 }, { index: 1 }])];
        failures = [{ kind: "conflict", rows, message: "another version" }];
        strand(0);
        await read();
        expect(waiting()).toEqual([0, 1]);
    });

    // Guards against a task that neither cell runs: other progress of its workflow, stored more often than the task can
    // be returned, rewrites the row each time.
    it("are returned although their row is rewritten with the same tasks", async () => {
        rows = [rowOf(10, [{ index: 0 }])];
        await read();
        rows = [rowOf(11, [{ index: 0 }])];
        strand(0);
        await jest.advanceTimersByTimeAsync(0);
        expect(transactions).toHaveLength(1);
        expect(transactions[0]?.checks).toContainEqual({ ...key, version: 11 });
        expect(waiting()).toEqual([]);
    });

    it("are not in the ledger of a successor if they were returned", () => {
        transfers.inherit([rowOf(12, [{ index: 0, isReturned: true }, { index: 1 }])]);
        expect(waiting()).toEqual([1]);
    });
});
