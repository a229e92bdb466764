import { setTimeout as sleep } from "node:timers/promises";

import type { JsonAnswer, JsonCall } from "./serve-json.js";

interface Row {
    readonly table: string;
    readonly part: string;
    readonly key: string;
    /** Base64. */
    readonly value: string;
    readonly schemaVersion: number;
    readonly deleted?: boolean;
}
type RowName = Pick<Row, "table" | "part" | "key">;

/** The platform's metadata store, as PROTOCOL.md describes it. */
export interface Store {
    readonly handle: (call: JsonCall) => Promise<JsonAnswer>;
    /** Writes a row as the operator or a worker does; undefined removes it. */
    readonly put: (table: string, key: string, value: object | undefined) => void;
}

/** Milliseconds that a call takes. */
const answerTime = 4;
const maxEntries = 100;
const maxBytes = 1_000_000;
const maxValueBytes = 65_536;
const pageRows = 500;
const longestWait = 30_000;
const readOnlyTables = ["servers", "op"];

const nameOf = ({ table, part, key }: RowName): string => JSON.stringify([table, part, key]);
const list = <Item>(value: unknown): readonly Item[] => Array.isArray(value) ? value as Item[] : [];

/** Creates an empty store. */
export const createStore = (): Store => {
    const rows = new Map<string, Row>();
    const history: Row[] = [];
    const waiters = new Set<() => void>();
    let version = 0;

    const meta = (): object => ({ schemaVersion: version, nowMs: Math.round(performance.now()) });
    const write = (row: Omit<Row, "schemaVersion">): void => {
        const written = { table: row.table, part: row.part, key: row.key, value: row.value, schemaVersion: version };
        rows.set(nameOf(row), written);
        history.push(written);
    };
    const remove = (name: RowName): void => {
        if (rows.delete(nameOf(name))) {
            const { table, part, key } = name;
            history.push({ table, part, key, value: "", schemaVersion: version, deleted: true });
        }
    };
    const wakeAll = (): void => {
        [...waiters].forEach(wake => {
            wake();
        });
    };
    const transact = (body: JsonCall["body"]): JsonAnswer => {
        const checks = list<Row>(body["expectedRevision"]);
        const puts = list<Row>(body["puts"]);
        const removals = list<RowName>(body["removals"]);
        const all = [...checks, ...puts, ...removals];
        const isTooLarge = all.length > maxEntries || JSON.stringify(body).length > maxBytes
            || puts.some(({ value }) => Buffer.from(value, "base64").length > maxValueBytes);
        const isMixed = new Set(all.map(({ part }) => part)).size > 1 && body["crossPartition"] !== true;
        if (isTooLarge || isMixed) {
            return { status: 400 };
        }
        if ([...puts, ...removals].some(({ table }) => readOnlyTables.includes(table))) {
            return { status: 403 };
        }
        if (checks.some(check => (rows.get(nameOf(check))?.schemaVersion ?? 0) !== check.schemaVersion)) {
            const current = checks.flatMap(check => rows.get(nameOf(check)) ?? []);
            return { status: 412, body: { rows: current, ...meta() } };
        }
        version += 1;
        puts.forEach(write);
        removals.forEach(remove);
        wakeAll();
        return { status: 200, body: meta() };
    };
    const read = (query: URLSearchParams): JsonAnswer => {
        const from = query.get("from") ?? "";
        const to = query.get("to");
        const limit = Math.min(pageRows, Number(query.get("limit") ?? pageRows));
        const found = [...rows.values()]
            .filter(({ table, part, key }) =>
                table === query.get("table") && part === (query.get("part") ?? "") && key >= from
                && (to === null || key < to)
            )
            .sort((left, right) => left.key < right.key ? -1 : 1);
        return {
            status: 200,
            body: { rows: found.slice(0, limit), hasMore: found.length > limit, ...meta() },
        };
    };
    const follow = async (query: URLSearchParams): Promise<JsonAnswer> => {
        const after = Number(query.get("after"));
        const wait = Math.min(longestWait, Number(query.get("waitMs") ?? 0));
        const changes = (): readonly Row[] =>
            history.filter(({ table, schemaVersion }) => table === query.get("table") && schemaVersion > after);
        const deadline = performance.now() + wait;
        while (changes().length === 0 && performance.now() < deadline) {
            await new Promise<void>(resolve => {
                const timer = setTimeout(resolve, deadline - performance.now());
                waiters.add(() => {
                    clearTimeout(timer);
                    resolve();
                });
            });
            waiters.clear();
        }
        return { status: 200, body: { rows: changes(), ...meta() } };
    };
    const handlers: Readonly<Record<string, (call: JsonCall) => JsonAnswer | Promise<JsonAnswer>>> = {
        "POST /api/rows-tx": ({ body }) => transact(body),
        "GET /api/rows-get": ({ query }) => read(query),
        "GET /api/rows-feed": ({ query }) => follow(query),
    };
    return {
        handle: async call => {
            await sleep(answerTime);
            return await handlers[`${call.method} ${call.path}`]?.(call) ?? { status: 404 };
        },
        put: (table, key, value) => {
            version += 1;
            if (value === undefined) {
                remove({ table, part: "", key });
            }
            else {
                write({ table, part: "", key, value: Buffer.from(JSON.stringify(value)).toString("base64") });
            }
            wakeAll();
        },
    };
};
