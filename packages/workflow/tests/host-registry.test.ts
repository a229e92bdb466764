import type { FailureDomainId, HostId } from "@jayfront/world";
import { createStopSignal } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import pino from "pino";
import { Result } from "true-myth";

import type { EntryHostRecord, HostRegistry } from "../src/peer/host-registry.js";
import { createHostRegistry } from "../src/peer/host-registry.js";
import type { StateStore } from "../src/port/state-store.js";

const hostOf = (id: string, incarnation = "1"): EntryHostRecord => ({
    id: id as HostId,
    failureDomain: "east-a" as FailureDomainId,
    peerAddress: `${id}:1`,
    incarnation,
    storeDelay: 4,
    processors: 1,
});

describe("the registry of entry hosts", () => {
    const rows = new Map<
        string,
        { key: string; partition: string; value: string; version: number; isRemoved: boolean; }
    >();
    let version = 0;
    let writes: string[];
    let found: string[];
    let registry: HostRegistry;
    let stop: ReturnType<typeof createStopSignal>;
    const put = (key: string, value: string): void => {
        version += 1;
        rows.set(key, { key, partition: "", value, version, isRemoved: false });
    };
    const remove = (key: string): void => {
        version += 1;
        rows.set(key, { key, partition: "", value: "", version, isRemoved: true });
    };
    const store = {
        read: () => Promise.resolve(Result.ok({ rows: [...rows.values()].filter(row => !row.isRemoved), version })),
        follow: (...[, after]: [string, number]) =>
            Promise.resolve(Result.ok({ rows: [...rows.values()].filter(row => row.version > after), version })),
        commit: (transaction: { writes: { key: string; value: string; }[]; removals?: { key: string; }[]; }) => {
            transaction.writes.forEach(({ key, value }) => {
                writes.push(key);
                put(key, value);
            });
            transaction.removals?.forEach(({ key }) => {
                remove(key);
            });
            return Promise.resolve(Result.ok(version));
        },
    } as unknown as StateStore;
    const ids = (): readonly string[] => registry.peers().map(peer => peer.id);

    beforeEach(async () => {
        jest.useFakeTimers();
        rows.clear();
        writes = [];
        found = [];
        stop = createStopSignal();
        put("b", JSON.stringify(hostOf("b")));
        put("c", JSON.stringify(hostOf("c")));
        registry = createHostRegistry({
            self: hostOf("a"),
            store,
            logger: pino({ level: "silent" }),
            onFound: host => {
                found.push(`${host.id}/${host.incarnation}`);
            },
        });
        void registry.run(stop.signal);
        await jest.advanceTimersByTimeAsync(10);
    });
    afterEach(() => {
        stop.abort();
        jest.useRealTimers();
    });

    it("writes its row once, and finds the others", async () => {
        await jest.advanceTimersByTimeAsync(60_000);
        expect({ writes, found, peers: ids() }).toEqual({ writes: ["a"], found: ["b/1", "c/1"], peers: ["b", "c"] });
    });

    it("writes its row again where others have removed it, or a former life has written late", async () => {
        remove("a");
        await jest.advanceTimersByTimeAsync(3_000);
        put("a", JSON.stringify(hostOf("a", "0")));
        await jest.advanceTimersByTimeAsync(3_000);
        expect(writes).toEqual(["a", "a", "a"]);
    });

    // Guards against a process that one unreadable row takes down.
    it.each(["{", "null", "[]", JSON.stringify({ id: "d" })])("leaves a row out that holds %s", async value => {
        put("d", value);
        await jest.advanceTimersByTimeAsync(3_000);
        put("e", JSON.stringify(hostOf("e")));
        await jest.advanceTimersByTimeAsync(3_000);
        expect(ids()).toEqual(["b", "c", "e"]);
    });

    it("forgets a host that answers no call for long, until it is heard", async () => {
        registry.recordCall("b" as HostId, false);
        await jest.advanceTimersByTimeAsync(20_000);
        expect(ids()).toEqual(["c"]);
        registry.addPeer(hostOf("b"));
        expect(ids()).toEqual(["c", "b"]);
    });

    // Guards against a host that forgets all others because it is cut off itself.
    it("forgets nobody while most do not answer", async () => {
        registry.recordCall("b" as HostId, false);
        registry.recordCall("c" as HostId, false);
        await jest.advanceTimersByTimeAsync(60_000);
        expect(ids()).toEqual(["b", "c"]);
    });
});
