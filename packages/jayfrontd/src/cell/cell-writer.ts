import type { CellRow, RosterEntry } from "@jayfront/world";
import { createWakeUp, sleep } from "@jayfront/world";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

import { jitter } from "../util/jitter.js";
import type { CellContext } from "./cell-context.js";
import type { VersionedCellRow } from "./cell-store.js";
import { commitOnce, tableKeys } from "./cell-store.js";
import type { ChunkRunner } from "./chunk-runner.js";

/** Result of one write; `nothing` means that there was nothing to write. */
export type WriteOutcome = "written" | "nothing" | "failed";

/** Writes a held cell's roster and outcomes and deletes its applied orders; one write at a time. */
export interface CellWriter {
    /** Writes at every `flush` interval, and soon after {@link CellWriter.requestWrite}, until the cell is given up. */
    readonly run: () => Promise<void>;
    /** Requests a write without waiting for the next interval. */
    readonly requestWrite: () => void;
    /** Writes as soon as the write in flight, if any, has ended. */
    readonly writeNow: () => Promise<WriteOutcome>;
    /** The cell row as last written. */
    readonly row: () => VersionedCellRow;
}

/** Options of {@link createCellWriter}. */
export interface CellWriterOptions {
    readonly context: CellContext;
    /** The row by which this host took the cell. */
    readonly initialRow: VersionedCellRow;
    readonly runner: () => ChunkRunner;
    /** The roster that the next write puts into the row. */
    readonly desiredRoster: () => readonly RosterEntry[];
    /** Called after a write that changed the roster in the row. */
    readonly onRosterWritten: () => void;
    readonly random: RandomGenerator;
}

/** Delay before the first retry of a failed write; doubled for each further one. */
const initialRetryDelayMs = 1_000;
const maxRetryDelayMs = 30_000;
/** Time in which requests for a write are collected into one write. */
const urgentWriteDelayMs = 200;

/** Creates the writer of a cell that this host has just taken. */
export const createCellWriter = (options: CellWriterOptions): CellWriter => {
    const { context, runner, desiredRoster, onRosterWritten, random } = options;
    const { cell, platform, timing, signal, metrics, loseCell } = context;
    const writeWakeUp = createWakeUp();
    let row = options.initialRow;
    let isUrgent = false;

    /** Writes roster and outcomes and deletes applied orders in one transaction that checks the cell's row. */
    const write = async (): Promise<WriteOutcome> => {
        const ledgers = runner().dirtyLedgers();
        const orders = runner().appliedOrders();
        const roster = desiredRoster();
        const isRosterNew = JSON.stringify(roster) !== JSON.stringify(row.row.roster);
        if (ledgers.length === 0 && orders.length === 0 && !isRosterNew) {
            return "nothing";
        }
        const begun = ledgers.map(ledger => ({ ledger, ...ledger.beginWrite() }));
        const nextRow: CellRow = { ...row.row, roster };
        const chunkWrites = begun.map(({ ledger, value }) => ({
            key: tableKeys.chunk(cell, value.job, value.number),
            version: ledger.version(),
            value: ledger.isSettled() ? undefined : value,
        }));
        const outcomeWrites = begun
            .filter(({ ledger }) => ledger.isSettled())
            .map(({ value }) => ({ key: tableKeys.outcome(value.job, value.number), value }));
        const key = tableKeys.cell(cell);
        metrics.storeWrites.inc({ purpose: "cell" });
        const committed = await commitOnce(
            platform.table,
            [{ key, version: row.version }, ...chunkWrites.map(entry => ({ key: entry.key, version: entry.version }))],
            [
                { key, value: nextRow },
                ...chunkWrites,
                ...outcomeWrites,
                ...orders.map(order => ({ key: order.key, value: undefined })),
            ],
            // The next write has to check the versions that this commit yields, so it can't start before the outcome
            // is known.
            { attempts: Infinity, signal },
        );
        if (signal.aborted) {
            return "failed";
        }
        if (committed.isErr) {
            if (committed.error.kind === "conflict") {
                loseCell("another host has changed the cell's rows");
            }
            return "failed";
        }
        row = { row: nextRow, version: committed.value[0] ?? 0 };
        begun.forEach(({ complete }, position) => {
            for (const { worker, attempt } of complete(committed.value[position + 1] ?? 0)) {
                context.workers.get(worker)?.acknowledged.push(attempt);
            }
        });
        runner().onWritten(ledgers, orders);
        if (isRosterNew) {
            onRosterWritten();
        }
        return "written";
    };
    /** Writes periodically, and sooner after a request or a failed write. */
    const run = async (): Promise<void> => {
        let retryDelay = initialRetryDelayMs;
        while (!signal.aborted) {
            await writeWakeUp.wait(isUrgent ? urgentWriteDelayMs : jitter(random, timing.flush), signal);
            await sleep(isUrgent ? jitter(random, urgentWriteDelayMs) : 0, signal);
            isUrgent = false;
            const outcome = await writeExclusively();
            if (outcome === "failed") {
                await sleep(jitter(random, retryDelay), signal);
                retryDelay = Math.min(maxRetryDelayMs, retryDelay * 2);
                isUrgent = true;
            }
            else {
                retryDelay = initialRetryDelayMs;
            }
        }
    };
    let lastWrite: Promise<unknown> = Promise.resolve();
    /** Writes after the write in flight, so that there is one at a time. */
    const writeExclusively = (): Promise<WriteOutcome> => {
        const next = lastWrite.then(() => signal.aborted ? "failed" as const : write());
        lastWrite = next;
        return next;
    };
    return {
        run,
        requestWrite: () => {
            isUrgent = true;
            writeWakeUp.notify();
        },
        writeNow: writeExclusively,
        row: () => row,
    };
};
