import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import { Result } from "true-myth";

import type { StateStore } from "../src/port/state-store.js";
import type { FollowedTable } from "../src/store/followed-table.js";
import { createFollowedTable } from "../src/store/followed-table.js";

/** Creates a store with one table, which counts the reads of the whole table and the rows that it returns. */
const createCountingStore = () => {
    const rows = new Map<
        string,
        { key: string; partition: string; value: string; version: number; isRemoved: boolean; }
    >();
    let version = 0;
    let isHistoryGone = false;
    const readCounts = { wholeTables: 0, rows: 0 };
    const store = {
        read: () => {
            const found = [...rows.values()].filter(row => !row.isRemoved);
            readCounts.wholeTables += 1;
            readCounts.rows += found.length;
            isHistoryGone = false;
            return Promise.resolve(Result.ok({ rows: found, version }));
        },
        follow: (...[, after]: [string, number]) => {
            if (isHistoryGone) {
                return Promise.resolve(Result.err({ kind: "history-gone", message: "410" }));
            }
            const changed = [...rows.values()].filter(row => row.version > after);
            readCounts.rows += changed.length;
            return Promise.resolve(Result.ok({ rows: changed, version }));
        },
    } as unknown as StateStore;
    const write = (key: string, isRemoved: boolean): void => {
        version += 1;
        rows.set(key, { key, partition: "", value: key, version, isRemoved });
    };
    return {
        store,
        counts: readCounts,
        put: (key: string) => {
            write(key, false);
        },
        remove: (key: string) => {
            write(key, true);
        },
        forgetHistory: () => {
            isHistoryGone = true;
        },
    };
};

describe("followed table", () => {
    let source: ReturnType<typeof createCountingStore>;
    let table: FollowedTable;
    const updateKeys = async (): Promise<readonly string[]> => {
        const changes = await table.update(0);
        return changes.map(rows => rows.map(row => `${row.isRemoved ? "-" : "+"}${row.key}`)).unwrapOr(["error"]);
    };
    beforeEach(async () => {
        jest.useFakeTimers();
        source = createCountingStore();
        ["a", "b", "c"].forEach(source.put);
        table = createFollowedTable({ store: source.store, table: "t", partition: "" });
        await table.update(0);
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    // Guards against each host reading the whole table when no row or only one has changed.
    it("reads only the rows that changed", async () => {
        source.counts.rows = 0;
        expect(await updateKeys()).toEqual([]);
        source.put("b");
        expect(await updateKeys()).toEqual(["+b"]);
        expect(source.counts).toEqual({ wholeTables: 1, rows: 1 });
    });

    it("reports and drops rows that were removed", async () => {
        source.remove("a");
        expect(await updateKeys()).toEqual(["-a"]);
        expect([...table.rows().keys()]).toEqual(["b", "c"]);
    });

    // Guards against a read of the whole table at each update when most rows change within a second.
    it("applies a long feed as it is, unless it has the length of a page", async () => {
        Array.from({ length: 501 }, (...[, index]) => `r${String(index)}`).forEach(source.put);
        expect(await updateKeys()).toHaveLength(501);
        expect(source.counts.wholeTables).toBe(1);
        Array.from({ length: 500 }, (...[, index]) => `s${String(index)}`).forEach(source.put);
        await updateKeys();
        expect(source.counts.wholeTables).toBe(2);
    });

    // Guards against rows that stay forever because their removal is no longer in the store's history.
    it("reports what changed while the history was gone", async () => {
        source.remove("a");
        source.put("d");
        source.forgetHistory();
        expect(await updateKeys()).toEqual(["-a", "+d"]);
    });
});
