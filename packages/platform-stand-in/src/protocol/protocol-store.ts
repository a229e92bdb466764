import { sleep } from "@jayfront/world";

import type { ProtocolAnswer, ProtocolCall, ProtocolHandler } from "./protocol-answer.js";

/** A row as in the store's protocol; `value` is base64, `schemaVersion` the version of the row. */
interface WireRow {
    readonly table: string;
    readonly part: string;
    readonly key: string;
    readonly value: string;
    readonly schemaVersion: number;
    readonly deleted?: boolean;
}

interface WireTransaction {
    readonly expectedRevision?: readonly Omit<WireRow, "value">[];
    readonly puts?: readonly Omit<WireRow, "schemaVersion">[];
    readonly removals?: readonly Pick<WireRow, "table" | "part" | "key">[];
    readonly crossPartition?: boolean;
}

/** Number of calls by method and path, for tests that limit it. */
export type CallCounts = ReadonlyMap<string, number>;

/** A simulated store that implements the protocol of the platform's store. */
export interface ProtocolStore {
    /** Handles a call to the store. */
    readonly handler: ProtocolHandler;
    readonly counts: CallCounts;
    /** Writes a row as the operator or a worker does; an undefined value removes it. */
    readonly put: (table: string, key: string, value: unknown) => void;
    /** Returns the rows of a table with decoded values. */
    readonly rows: (
        table: string,
    ) => readonly { readonly part: string; readonly key: string; readonly value: unknown; }[];
    /** Deletes the history of changes, so that feeds from earlier versions fail. */
    readonly compact: () => void;
    /**
     * Factor by which reads and transactions take longer. Above 1, the transactions of a partition are also carried out
     * one after another, and refused if more than a second of them is waiting. Default 1: all are carried out at once.
     */
    slowdown: number;
}

/** Largest number of checks, writes and removals of a transaction. */
const maxEntries = 100;
/** Bytes of a transaction's JSON above which it is refused. */
const maxTransactionBytes = 1_000_000;
/** Largest size of a row's value in bytes. */
const maxValueBytes = 65_536;
/** Largest size of a table's, partition's or key's name in bytes. */
const maxNameBytes = 200;
/** Largest number of tables, the platform's own included. */
const maxTables = 100;
/** Largest number of rows in the answer to a read. */
const pageSize = 500;
/** Bytes of rows in the answer to a read, above which the rest is left for the next one. */
const maxPageBytes = 1_000_000;
/** Longest time in milliseconds for which a call may wait for changes. */
const longestFollow = 30_000;
/** Milliseconds that a read takes. */
const readTime = 4;
/** Milliseconds that a transaction keeps its partition busy; twice as long if it has several partitions. */
const transactionTime = 1_000 / 300;
/** Milliseconds of waiting transactions above which a partition refuses more. */
const longestQueue = 1_000;
const rowKey = (row: Pick<WireRow, "table" | "part" | "key">): string =>
    `${row.table}\u0000${row.part}\u0000${row.key}`;
const hasLongName = ({ table, part, key }: Pick<WireRow, "table" | "part" | "key">): boolean =>
    [table, part, key].some(name => Buffer.byteLength(name) > maxNameBytes);
const encode = (value: unknown): string => Buffer.from(JSON.stringify(value)).toString("base64");
const decode = (value: string): unknown => {
    const text = Buffer.from(value, "base64").toString();
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return text;
    }
};

/** Creates an empty store. */
export const createProtocolStore = (): ProtocolStore => {
    const rows = new Map<string, WireRow>();
    /** Names of all tables that have ever had a row. */
    const tables = new Set<string>();
    const counts = new Map<string, number>();
    const waiters = new Set<() => void>();
    let history: WireRow[] = [];
    let compactedUpTo = 0;
    let version = 0;
    let slowdown = 1;
    /** Monotonic time in ms until which a partition is busy with transactions. */
    const busyUntil = new Map<string, number>();

    const versionAndTime = (): { schemaVersion: number; nowMs: number; } => ({
        schemaVersion: version,
        nowMs: Math.round(performance.now()),
    });
    const write = (row: Omit<WireRow, "schemaVersion">): void => {
        const written = { ...row, schemaVersion: version };
        rows.set(rowKey(row), written);
        tables.add(row.table);
        history.push(written);
    };
    const remove = (row: Pick<WireRow, "table" | "part" | "key">): void => {
        const { table, part, key } = row;
        if (rows.delete(rowKey(row))) {
            history.push({ table, part, key, value: "", schemaVersion: version, deleted: true });
        }
    };
    const wakeAll = (): void => {
        [...waiters].forEach(wake => {
            wake();
        });
    };
    const transact = (transaction: WireTransaction): ProtocolAnswer => {
        const { expectedRevision = [], puts = [], removals = [], crossPartition } = transaction;
        const all = [...expectedRevision, ...puts, ...removals];
        const parts = new Set(all.map(row => row.part));
        if (all.length > maxEntries || parts.size > 1 && crossPartition !== true) {
            return { status: 400 };
        }
        if (Buffer.byteLength(JSON.stringify(transaction)) > maxTransactionBytes || all.some(hasLongName)) {
            return { status: 400 };
        }
        if (puts.some(row => Buffer.from(row.value, "base64").length > maxValueBytes)) {
            return { status: 400 };
        }
        if (new Set([...tables, ...puts.map(row => row.table)]).size > maxTables) {
            return { status: 400 };
        }
        if (puts.some(row => row.table === "servers" || row.table === "op")) {
            return { status: 403 };
        }
        if (expectedRevision.some(row => (rows.get(rowKey(row))?.schemaVersion ?? 0) !== row.schemaVersion)) {
            const current = expectedRevision.flatMap(row => rows.get(rowKey(row)) ?? []);
            return { status: 412, body: { rows: current, ...versionAndTime() } };
        }
        version += 1;
        puts.forEach(write);
        removals.forEach(remove);
        wakeAll();
        return { status: 200, body: versionAndTime() };
    };
    const transactInTurn = async (transaction: WireTransaction): Promise<ProtocolAnswer> => {
        const { expectedRevision = [], puts = [], removals = [] } = transaction;
        const parts = new Set([...expectedRevision, ...puts, ...removals].map(row => row.part));
        const now = performance.now();
        const startAt = Math.max(now, ...[...parts].map(part => busyUntil.get(part) ?? now));
        if (startAt - now > longestQueue) {
            return { status: 429 };
        }
        const endAt = startAt + transactionTime * slowdown * Math.min(parts.size, 2);
        parts.forEach(part => busyUntil.set(part, endAt));
        await sleep(endAt - now);
        return transact(transaction);
    };
    const read = ({ query }: ProtocolCall): ProtocolAnswer => {
        const from = query.get("from") ?? "";
        const to = query.get("to");
        const limit = Math.min(pageSize, Number(query.get("limit") ?? pageSize));
        const page: WireRow[] = [];
        let bytes = 0;
        const found = [...rows.values()]
            .filter(row =>
                row.table === query.get("table") && row.part === (query.get("part") ?? "") && row.key >= from
                && (to === null || row.key < to)
            )
            .sort((left, right) => left.key < right.key ? -1 : 1);
        for (const row of found) {
            bytes += Buffer.byteLength(JSON.stringify(row));
            if (page.length >= limit || bytes > maxPageBytes) {
                break;
            }
            page.push(row);
        }
        return {
            status: 200,
            body: { rows: page, hasMore: found.length > page.length, ...versionAndTime() },
        };
    };
    const changesAfter = (table: string | null, after: number): readonly WireRow[] =>
        history.filter(row => row.table === table && row.schemaVersion > after);
    const follow = async ({ query }: ProtocolCall): Promise<ProtocolAnswer> => {
        const after = Number(query.get("after"));
        const table = query.get("table");
        const wait = Number(query.get("waitMs") ?? 0);
        if (!Number.isInteger(wait) || wait > longestFollow) {
            return { status: 400 };
        }
        if (after < compactedUpTo) {
            return { status: 410 };
        }
        const deadline = performance.now() + wait;
        while (changesAfter(table, after).length === 0 && performance.now() < deadline) {
            await new Promise<void>(resolve => {
                const timer = setTimeout(resolve, deadline - performance.now());
                const wake = (): void => {
                    clearTimeout(timer);
                    waiters.delete(wake);
                    resolve();
                };
                waiters.add(wake);
            });
        }
        return after < compactedUpTo
            ? { status: 410 }
            : { status: 200, body: { rows: changesAfter(table, after), ...versionAndTime() } };
    };
    const handlers: Record<string, ProtocolHandler> = {
        "POST /api/rows-tx": ({ body }) =>
            slowdown > 1 ? transactInTurn(body as WireTransaction) : transact(body as WireTransaction),
        "GET /api/rows-get": async call => {
            if (slowdown > 1) {
                await sleep(readTime * slowdown);
            }
            return read(call);
        },
        "GET /api/rows-feed": follow,
    };
    return {
        counts,
        handler: call => {
            const name = `${call.method} ${call.path}`;
            counts.set(name, (counts.get(name) ?? 0) + 1);
            return handlers[name]?.(call) ?? { status: 404 };
        },
        put: (table, key, value) => {
            version += 1;
            if (value === undefined) {
                remove({ table, part: "", key });
            }
            else {
                write({ table, part: "", key, value: encode(value) });
            }
            wakeAll();
        },
        rows: table =>
            [...rows.values()].filter(row => row.table === table)
                .map(({ part, key, value }) => ({ part, key, value: decode(value) })),
        compact: () => {
            history = [];
            compactedUpTo = version;
            wakeAll();
        },
        get slowdown() {
            return slowdown;
        },
        set slowdown(value: number) {
            slowdown = value;
        },
    };
};
