import type { CellId, JobId } from "@jayfront/world";
import { createStopSignal } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import pino from "pino";
import { Result } from "true-myth";

import type { CellLease } from "../src/cell/cell-lease.js";
import { createOutgoingTransfers } from "../src/cell/outgoing-transfers.js";
import type { OutgoingTransfers } from "../src/cell/outgoing-transfers.js";
import type { ProgressWriter } from "../src/cell/progress-writer.js";
import { createProgressWriter } from "../src/cell/progress-writer.js";
import { rowKeys } from "../src/cell/row-keys.js";
import { createRunNumbers } from "../src/cell/run-numbers.js";
import type { StrandedTasks } from "../src/cell/stranded-tasks.js";
import type { TransferRow } from "../src/cell/transfer-row.js";
import type { WorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import { taskName } from "../src/model/task-name.js";
import type { RowKey, StateStore, StoredRow, Transaction } from "../src/port/state-store.js";
import { testQueue } from "./test-queue.js";

const cell = "east-a/0" as CellId;
const other = "east-b/0" as CellId;
const third = "east-c/0" as CellId;
const id = "00000000000000aa" as JobId;
/** Milliseconds within which queued changes are stored. */
const writeTime = 50;
/** Milliseconds within which a write that found a conflict is repeated. */
const retryTime = 500;
/** Reviews in the 3 s within which a long-running task has to run wherever there is room; one takes 250 ms. */
const reviewsPerRestart = 12;

const addressOf = ({ table, partition, key }: RowKey): string => [table, partition, key].join(" ");

describe("tasks transferred to another cell", () => {
    let rows: Map<string, StoredRow>;
    let version: number;
    let ledgers: Map<JobId, WorkflowLedger>;
    /** Number of tasks for which each cell has room; cells with more free CPU come first. */
    let room: Map<CellId, number>;
    /** The only workflow for whose tasks there is room; undefined if there is for those of all. */
    let onlyFitting: JobId | undefined;
    /** Millicores that are free in each cell. */
    const freeCpu = 16_000;
    let stranded: StrandedTasks[];
    /** Whether the answers of the store wait until they are released. */
    let areReadsHeld: boolean;
    let areCommitsHeld: boolean;
    let heldReads: (() => void)[];
    let heldCommits: (() => void)[];
    /** Whether transactions get no answer and take effect only when they are carried out late. */
    let areCommitsLate: boolean;
    let lateCommits: Transaction[];
    let request: ProgressWriter["request"];
    let transfers: OutgoingTransfers;
    let stop: ReturnType<typeof createStopSignal>;

    const find = (key: RowKey): StoredRow | undefined => rows.get(addressOf(key));
    const put = (key: RowKey, value: string): void => {
        rows.set(addressOf(key), { ...key, value, version });
    };
    const waitIf = async (isHeld: boolean, held: (() => void)[]): Promise<void> => {
        if (isHeld) {
            await new Promise<void>(resolve => {
                held.push(resolve);
            });
        }
    };
    const store: Partial<StateStore> = {
        read: async (table, partition, key = "") => {
            const row = find({ table, partition, key });
            await waitIf(areReadsHeld, heldReads);
            return Result.ok({ rows: row === undefined ? [] : [row], version });
        },
        limits: { entries: 100, bytes: 697_500, valueBytes: 65_536 },
        commit: async transaction => {
            const { checks, writes, removals = [] } = transaction;
            if (areCommitsLate) {
                lateCommits.push(transaction);
                return Result.err({ kind: "unknown", message: "no answer" });
            }
            if (checks.some(check => (find(check)?.version ?? 0) !== check.version)) {
                const found = checks.map(find).filter(row => row !== undefined);
                return Result.err({ kind: "conflict", rows: found, message: "another version" });
            }
            version += 1;
            const stored = version;
            writes.forEach(({ value, ...key }) => {
                put(key, value);
            });
            removals.forEach(key => rows.delete(addressOf(key)));
            await waitIf(areCommitsHeld, heldCommits);
            return Result.ok(stored);
        },
    };
    beforeEach(() => {
        jest.useFakeTimers();
        rows = new Map();
        version = 5;
        ledgers = new Map();
        room = new Map();
        onlyFitting = undefined;
        stranded = [];
        areReadsHeld = false;
        areCommitsHeld = false;
        heldReads = [];
        heldCommits = [];
        areCommitsLate = false;
        lateCommits = [];
        stop = createStopSignal();
        put(rowKeys.holder(cell), "");
        const lease: Partial<CellLease> = {
            cell,
            epoch: 1,
            check: { ...rowKeys.holder(cell), version },
            trackCall: () => () => undefined,
            recordStoreFailure: () => undefined,
        };
        const logger = pino({ level: "silent" });
        const writer = createProgressWriter({
            cell,
            lease: lease as CellLease,
            store: store as StateStore,
            logger,
            onWritten: () => undefined,
            onMoved: () => undefined,
            onTransferChanged: (ledger, from, row) => {
                transfers.applyReturns(ledger, from, row);
            },
        });
        const runNumbers = createRunNumbers(1);
        transfers = createOutgoingTransfers({
            cell,
            store: store as StateStore,
            otherCells: {
                withFreeCpu: cpu => cpu < freeCpu ? [...room.keys()] : [],
                roomIn: (target, { job, count }) => {
                    const isFitting = onlyFitting === undefined || onlyFitting === job;
                    return Promise.resolve(isFitting ? Math.min(count, room.get(target) ?? 0) : 0);
                },
                notifyTransfer: () => undefined,
                notifyReturn: () => undefined,
            },
            findStranded: () => stranded,
            ledgerOf: job => ledgers.get(job),
            runController: { nextNumber: runNumbers.next, reserveNumbers: runNumbers.markUsed },
            writer,
            logger,
            metrics: { transferredTasks: { inc: () => undefined } as never },
            queueOf: () => testQueue,
            signal: stop.signal,
        });
        ({ request } = writer);
        void writer.run(stop.signal);
    });
    afterEach(() => {
        stop.abort();
        jest.useRealTimers();
    });
    const accept = (job: JobId, count: number, cpu: number = 1_000, payload: string = ""): WorkflowLedger => {
        const steps = [createStep({ count, cpu, isLasting: true })];
        const ledger = createWorkflowLedger({ id: job, queue: testQueue, payload, steps, acceptedAt: 0 });
        ledgers.set(job, ledger);
        return ledger;
    };
    const waitingOf = (
        ledger: WorkflowLedger,
    ): readonly number[] => [...ledger.stage({ occurrence: 0, step: 0, index: 0 })?.record.waiting ?? []];
    /** All waiting tasks of the workflow have found no room. */
    const strand = (ledger: WorkflowLedger): StrandedTasks[] =>
        ledger.openStages(0, 0).map(stage => ({
            ledger,
            stage,
            since: 0,
            movable: () => waitingOf(ledger),
            nameOf: index => taskName({ job: ledger.workflow.id, occurrence: 0, step: 0, index }),
        }));
    const settle = async (): Promise<void> => {
        await jest.advanceTimersByTimeAsync(writeTime);
    };
    /** Transfers the waiting tasks of the workflow to the cell. */
    const transferTo = async (ledger: WorkflowLedger, target: CellId): Promise<void> => {
        room = new Map([[target, 100]]);
        stranded = strand(ledger);
        transfers.review();
        await settle();
    };
    /** The holder of the cell marks all tasks in the workflow's row as returned. */
    const returnFrom = (source: CellId): void => {
        const key = rowKeys.transfer(source, id);
        const content = JSON.parse(find(key)?.value ?? "") as TransferRow;
        version += 1;
        put(key, JSON.stringify({ ...content, tasks: content.tasks.map(task => ({ ...task, isReturned: true })) }));
    };
    const release = async (held: (() => void)[]): Promise<void> => {
        held.splice(0).forEach(resolve => {
            resolve();
        });
        await settle();
    };

    // Guards against a transfer that the store never accepts, and with it no progress of the workflow: its row, which
    // contains the workflow, would be too long.
    it("stay in their cell if their workflow does not fit into a transfer row", async () => {
        const ledger = accept(id, 1, 1_000, "p".repeat(65_000));
        await transferTo(ledger, other);
        expect([waitingOf(ledger), find(rowKeys.transfer(other, id))]).toEqual([[0], undefined]);
    });

    it("wait again once they are returned and the row is gone", async () => {
        const ledger = accept(id, 1);
        await transferTo(ledger, other);
        expect(waitingOf(ledger)).toEqual([]);
        returnFrom(other);
        await transfers.readReturns(id, other);
        await settle();
        expect(waitingOf(ledger)).toEqual([0]);
        expect(find(rowKeys.transfer(other, id))).toBeUndefined();
    });

    // Guards against a task that neither cell runs: the notice of its return is lost, and a later one finds the row's
    // version known from a conflict.
    it("wait again once a write of their workflow finds them returned", async () => {
        const ledger = accept(id, 2);
        room = new Map([[other, 1]]);
        stranded = strand(ledger);
        transfers.review();
        await settle();
        expect(waitingOf(ledger)).toEqual([1]);
        returnFrom(other);
        await transferTo(ledger, third);
        await jest.advanceTimersByTimeAsync(retryTime);
        expect(waitingOf(ledger)).toEqual([0]);
        expect(find(rowKeys.transfer(other, id))).toBeUndefined();
        expect(find(rowKeys.transfer(third, id))).toBeDefined();
    });

    // Guards against two runs of one task: a read of the row that returned it is answered after it was transferred anew.
    it.each([
        { target: other, isStored: false },
        { target: other, isStored: true },
        { target: third, isStored: false },
        { target: third, isStored: true },
    ])("stay away if their earlier return is read late, %j", async ({ target, isStored }) => {
        const ledger = accept(id, 1);
        await transferTo(ledger, other);
        returnFrom(other);
        areReadsHeld = true;
        void transfers.readReturns(id, other);
        areReadsHeld = false;
        await transfers.readReturns(id, other);
        await settle();
        areCommitsHeld = !isStored;
        await transferTo(ledger, target);
        expect(find(rowKeys.transfer(target, id))).toBeDefined();
        await release(heldReads);
        await release(heldCommits);
        expect(waitingOf(ledger)).toEqual([]);
        expect(find(rowKeys.transfer(target, id))).toBeDefined();
    });

    // Guards against a task that another cell starts after the cancellation: the first write of its transfer, without
    // answer and repeated, is carried out once the end of the workflow has removed the rows that it checks to be absent.
    it("don't come back by a late write once their workflow has ended", async () => {
        const ledger = accept(id, 1);
        areCommitsLate = true;
        await transferTo(ledger, other);
        areCommitsLate = false;
        await jest.advanceTimersByTimeAsync(retryTime);
        expect(find(rowKeys.transfer(other, id))).toBeDefined();
        ledger.recordCancellation();
        request(ledger);
        await settle();
        expect(find(rowKeys.transfer(other, id))).toBeUndefined();
        expect(lateCommits).toHaveLength(1);
        for (const late of lateCommits) {
            await store.commit?.(late);
        }
        expect(find(rowKeys.transfer(other, id))).toBeUndefined();
    });

    // Guards against a cancellation that is never confirmed, since its repeated write expects that nothing has ended yet.
    it("don't keep the end of their workflow from being stored again after a write without answer", async () => {
        const ledger = accept(id, 1);
        await transferTo(ledger, other);
        ledger.recordCancellation();
        areCommitsLate = true;
        request(ledger);
        await settle();
        areCommitsLate = false;
        for (const late of lateCommits) {
            await store.commit?.(late);
        }
        await jest.advanceTimersByTimeAsync(2 * retryTime);
        expect(ledger.isDirty()).toBe(false);
        expect(find(rowKeys.settled(cell, id))).toBeDefined();
        expect(find(rowKeys.transfer(other, id))).toBeUndefined();
    });

    /** Reviews the tasks for which no room was found as often as a cell does in the time that it has for a restart. */
    const reviewRepeatedly = async (): Promise<void> => {
        for (let review = 0; review < reviewsPerRestart; review += 1) {
            transfers.review();
            await settle();
        }
    };

    // Guards against tasks that wait for ever behind others for which no cell has room, such as those of a rare label.
    it.each([1_000, freeCpu])(
        "move although many tasks of %d millicores that have waited longer fit nowhere",
        async cpu => {
            const last = "00000000000000ff" as JobId;
            const unplaceable = [...Array(30).keys()].map(number =>
                accept(number.toString(16).padStart(16, "0") as JobId, 1, cpu)
            );
            stranded = [...unplaceable, accept(last, 1)].flatMap(strand);
            room = new Map([[other, 100]]);
            onlyFitting = last;
            await reviewRepeatedly();
            expect(find(rowKeys.transfer(other, last))).toBeDefined();
        },
    );

    // Guards against tasks that wait for ever, since the cells with the most free CPU lack something else that they need.
    it("move to the cell that has room although other cells have more free CPU", async () => {
        stranded = strand(accept(id, 1));
        room = new Map([[other, 0], [third, 0], ["east-d/0" as CellId, 0], ["east-e/0" as CellId, 2]]);
        await reviewRepeatedly();
        expect(find(rowKeys.transfer("east-e/0" as CellId, id))).toBeDefined();
    });

    // Guards against a task that goes back and forth, since the cell with the most free CPU offers room and can't start it.
    it("move to another cell with room after they were returned", async () => {
        const ledger = accept(id, 1);
        await transferTo(ledger, other);
        returnFrom(other);
        await transfers.readReturns(id, other);
        await settle();
        stranded = strand(ledger);
        room = new Map([[other, 100], [third, 100]]);
        transfers.review();
        await settle();
        expect(find(rowKeys.transfer(third, id))).toBeDefined();
    });
});
