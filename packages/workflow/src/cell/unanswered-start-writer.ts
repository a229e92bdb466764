import type { CellId } from "@jayfront/world";
import { createWakeUp, sleep } from "@jayfront/world";
import type { Logger } from "pino";

import type { TaskName } from "../model/task-name.js";
import type { StateStore } from "../port/state-store.js";
import type { CellLease } from "./cell-lease.js";
import { rowKeys } from "./row-keys.js";
import { startsCodec } from "./starts-codec.js";
import type { StoredAbsences } from "./stored-starts.js";

/**
 * Stores the unanswered starts of a cell, so that its next holder does not start their tasks elsewhere, and its absent
 * tasks, so that it starts them before tasks that have never run.
 */
export interface UnansweredStartWriter {
    /** Sets the version that the row has in the store, or 0 if there is no row, and its contents. */
    readonly setStored: (version: number, stored: StoredAbsences) => void;
    /** Whether the stored row may name a start of the task, or the workers on which it may run. */
    readonly mayName: (task: TaskName) => boolean;
    /** Resolves to true once the contents of the row, as of this call, are stored; to false if `signal` aborts first. */
    readonly store: (signal: AbortSignal) => Promise<boolean>;
    /** Has the row written soon, since the unanswered starts or the absent tasks have changed. */
    readonly request: () => void;
    /** Writes the row until `signal` aborts: on request, and repeatedly while there are unanswered starts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Options of {@link createUnansweredStartWriter}. */
export interface UnansweredStartWriterOptions {
    readonly cell: CellId;
    readonly lease: CellLease;
    readonly store: StateStore;
    readonly logger: Logger;
    /** The present contents of the row. */
    readonly snapshot: () => StoredAbsences;
}

/** Milliseconds between writes while starts change. */
const writeInterval = 100;
/** Milliseconds between writes while there are unanswered starts: the ages in the row count up to its write. */
const refreshInterval = 1_000;
/** Milliseconds of one wait for a request; its length does not matter, since each request ends it. */
const idleWait = 60_000;
/** Milliseconds between looks whether the row has been stored. */
const storePollInterval = 20;

/** Creates a writer of the row of a cell that has none. */
export const createUnansweredStartWriter = (options: UnansweredStartWriterOptions): UnansweredStartWriter => {
    const { cell, lease, store, logger, snapshot } = options;
    const key = rowKeys.unansweredStarts(cell);
    const wakeUp = createWakeUp();
    let version = 0;
    /** Whether the stored row may name starts or absent tasks. */
    let mayBeStored = false;
    /** Whether the stored row may contain ages, which count up to its write, or has to be written again. */
    let isRefreshDue = false;
    /** Tasks whose starts or workers the stored row may name. */
    let storedTasks: ReadonlySet<TaskName> = new Set();
    /** Number of the last snapshot, and of the last one that was stored. */
    let snapshots = 0;
    let storedSnapshot = 0;
    /** Whether the last write failed; it is repeated after `writeInterval`, since starts may wait for it. */
    let hasFailed = false;

    const namedTasks = ({ starts, locatedTasks }: StoredAbsences): readonly TaskName[] =>
        [...starts, ...locatedTasks].map(({ task }) => task);
    const hasAges = ({ starts, lateSignAge }: StoredAbsences): boolean =>
        starts.length > 0 || lateSignAge !== undefined;
    const hasAbsences = ({ absentTasks, locatedTasks }: StoredAbsences): boolean =>
        absentTasks.length > 0 || locatedTasks.length > 0;
    const write = async (value: StoredAbsences): Promise<void> => {
        mayBeStored = true;
        isRefreshDue = true;
        const tasks = namedTasks(value);
        storedTasks = new Set([...storedTasks, ...tasks]);
        const number = snapshots;
        const recordProof = lease.trackCall();
        const written = await store.commit({
            checks: [lease.check, { ...key, version }],
            writes: [{ ...key, value: startsCodec.encode(value) }],
        });
        if (written.isOk) {
            recordProof();
            hasFailed = false;
            version = written.value;
            storedTasks = new Set(tasks);
            storedSnapshot = number;
            isRefreshDue = hasAges(value);
            mayBeStored = isRefreshDue || hasAbsences(value);
            return;
        }
        hasFailed = true;
        const { error } = written;
        logger.warn(
            { cell, starts: value.starts.length, error: error.kind, message: error.message },
            "writing unanswered starts failed; retrying while this host holds the cell",
        );
        if (error.kind === "conflict") {
            version = error.rows.find(row => row.table === key.table && row.key === key.key)?.version ?? 0;
            await lease.renew();
        }
    };
    return {
        mayName: task => storedTasks.has(task),
        store: async signal => {
            const needed = snapshots + 1;
            wakeUp.notify();
            while (!signal.aborted && storedSnapshot < needed) {
                await sleep(storePollInterval, signal);
            }
            return !signal.aborted;
        },
        setStored: (storedVersion, stored) => {
            version = storedVersion;
            storedTasks = new Set(namedTasks(stored));
            mayBeStored = storedVersion > 0;
            isRefreshDue = mayBeStored;
        },
        request: wakeUp.notify,
        run: async signal => {
            while (!signal.aborted) {
                const interval = hasFailed ? 0 : isRefreshDue ? refreshInterval : idleWait;
                await wakeUp.wait(interval, signal);
                snapshots += 1;
                const value = snapshot();
                const isEmpty = !hasAges(value) && !hasAbsences(value);
                if (!signal.aborted && (mayBeStored || !isEmpty)) {
                    await write(value);
                    await sleep(writeInterval, signal);
                }
                else {
                    storedSnapshot = snapshots;
                }
            }
        },
    };
};
