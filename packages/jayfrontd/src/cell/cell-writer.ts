import type { CellRow, RosterEntry } from "@jayfront/world";
import { createWakeUp, sleep } from "@jayfront/world";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

import { jitter } from "../util/jitter.js";
import type { CellContext } from "./cell-context.js";
import type { VersionedCellRow } from "./cell-store.js";
import { commitOnce, tableKeys } from "./cell-store.js";
import type { ChunkRunner } from "./chunk-runner.js";

/** What became of one write. */
export type WriteOutcome = "written" | "nothing" | "failed";

/** Writes a held cell's row, outcomes and applied orders; one write at a time. */
export interface CellWriter {
    /** Writes in time, and soon after {@link CellWriter.requestWrite}, until the holding ends. */
    readonly run: () => Promise<void>;
    /** Asks for a write soon. */
    readonly requestWrite: () => void;
    /** Writes now, after any write that is on its way. */
    readonly writeNow: () => Promise<WriteOutcome>;
    /** The row as written last. */
    readonly row: () => VersionedCellRow;
}

/** Options of {@link createCellWriter}. */
export interface CellWriterOptions {
    readonly context: CellContext;
    /** The row as taken. */
    readonly initialRow: VersionedCellRow;
    readonly runner: () => ChunkRunner;
    /** Roster as it should stand in the row. */
    readonly desiredRoster: () => readonly RosterEntry[];
    /** Called after a write that changed the roster. */
    readonly onRosterWritten: () => void;
    readonly random: RandomGenerator;
}

const writeRetryFirst = 1_000;
const writeRetryLimit = 30_000;
const promptWriteDelay = 200;

/** Creates the writer of a cell that was just taken. */
export const createCellWriter = (options: CellWriterOptions): CellWriter => {
    const { context, runner, desiredRoster: wantedRoster, onRosterWritten, random } = options;
    const { cell, platform, timing, signal, metrics, loseCell: lose } = context;
    const wanted = createWakeUp();
    let row = options.initialRow;
    let isPrompt = false;

    /** Writes roster, outcomes and applied orders in one transaction that checks the cell's row. */
    const write = async (): Promise<WriteOutcome> => {
        const ledgers = runner().dirtyLedgers();
        const orders = runner().appliedOrders();
        const roster = wantedRoster();
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
            // Versions are unknown until the outcome is, so that nothing else can be written before.
            { attempts: Infinity, signal },
        );
        if (signal.aborted) {
            return "failed";
        }
        if (committed.isErr) {
            if (committed.error.kind === "conflict") {
                lose("the cell's rows were changed by another host");
            }
            return "failed";
        }
        row = { row: nextRow, version: committed.value[0] ?? 0 };
        begun.forEach(({ complete: done }, position) => {
            for (const { worker, attempt } of done(committed.value[position + 1] ?? 0)) {
                context.workers.get(worker)?.acknowledged.push(attempt);
            }
        });
        runner().onWritten(ledgers, orders);
        if (isRosterNew) {
            onRosterWritten();
        }
        return "written";
    };
    /** One writer at a time; its turns are prompt where something waits for the write. */
    const run = async (): Promise<void> => {
        let retry = writeRetryFirst;
        while (!signal.aborted) {
            await wanted.wait(isPrompt ? promptWriteDelay : jitter(random, timing.flush), signal);
            await sleep(isPrompt ? jitter(random, promptWriteDelay) : 0, signal);
            isPrompt = false;
            const outcome = await writeExclusively();
            if (outcome === "failed") {
                await sleep(jitter(random, retry), signal);
                retry = Math.min(writeRetryLimit, retry * 2);
                isPrompt = true;
            }
            else {
                retry = writeRetryFirst;
            }
        }
    };
    let writing: Promise<unknown> = Promise.resolve();
    const writeExclusively = (): Promise<WriteOutcome> => {
        const turn = writing.then(() => signal.aborted ? "failed" as const : write());
        writing = turn;
        return turn;
    };
    return {
        run,
        requestWrite: () => {
            isPrompt = true;
            wanted.notify();
        },
        writeNow: writeExclusively,
        row: () => row,
    };
};
