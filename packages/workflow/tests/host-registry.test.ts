import type { FailureDomainId, HostId } from "@jayfront/world";
import { createStopSignal } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import pino from "pino";
import { Result } from "true-myth";

import type { EntryHostRecord, HostRegistry } from "../src/peer/host-registry.js";
import { createHostRegistry } from "../src/peer/host-registry.js";
import type { StateStore } from "../src/port/state-store.js";

const createHost = (id: string, incarnation = "1"): EntryHostRecord => ({
    id: id as HostId,
    failureDomain: "east-a" as FailureDomainId,
    peerAddress: `${id}:1`,
    incarnation,
    storeDelay: 4,
    processors: 1,
});

describe("host registry", () => {
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
    const peerIds = (): readonly string[] => registry.peers().map(peer => peer.id);

    beforeEach(async () => {
        jest.useFakeTimers();
        rows.clear();
        writes = [];
        found = [];
        stop = createStopSignal();
        put("b", JSON.stringify(createHost("b")));
        put("c", JSON.stringify(createHost("c")));
        registry = createHostRegistry({
            self: createHost("a"),
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

    it("writes its row once and finds the other hosts", async () => {
        await jest.advanceTimersByTimeAsync(60_000);
        expect({ writes, found, peers: peerIds() }).toEqual({
            writes: ["a"],
            found: ["b/1", "c/1"],
            peers: ["b", "c"],
        });
    });

    it("writes its row again if it was removed, or overwritten by a late write of an earlier incarnation", async () => {
        remove("a");
        await jest.advanceTimersByTimeAsync(3_000);
        put("a", JSON.stringify(createHost("a", "0")));
        await jest.advanceTimersByTimeAsync(3_000);
        expect(writes).toEqual(["a", "a", "a"]);
    });

    // Guards against a process that crashes, or sends no heartbeats any more, because of one invalid row.
    it.each([
        "{",
        "null",
        "[]",
        "[".repeat(10_000),
        JSON.stringify({ id: "d" }),
        JSON.stringify({ ...createHost("d"), peerAddress: "10.0.0.1:99999" }),
        JSON.stringify({ ...createHost("d"), peerAddress: "zzz" }),
        JSON.stringify({ ...createHost("d"), processors: -1 }),
        JSON.stringify({ ...createHost("d"), storeDelay: 1e300 }),
    ])("ignores a row that holds %s", async value => {
        put("d", value);
        await jest.advanceTimersByTimeAsync(3_000);
        put("e", JSON.stringify(createHost("e")));
        await jest.advanceTimersByTimeAsync(3_000);
        expect(peerIds()).toEqual(["b", "c", "e"]);
    });

    it("removes a host that has answered no call for long, until it sends a message", async () => {
        registry.recordCall("b" as HostId, false);
        await jest.advanceTimersByTimeAsync(20_000);
        expect(peerIds()).toEqual(["c"]);
        registry.addPeer(createHost("b"));
        expect(peerIds()).toEqual(["c", "b"]);
    });

    // Guards against a host that removes all others because it is itself isolated.
    it("removes no host while most do not answer", async () => {
        registry.recordCall("b" as HostId, false);
        registry.recordCall("c" as HostId, false);
        await jest.advanceTimersByTimeAsync(60_000);
        expect(peerIds()).toEqual(["b", "c"]);
    });
});
