import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster, WorkflowClusterOptions } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Milliseconds from the start until the cluster serves requests. */
const warmUp = 6_000;
const regions = { "east-a": "east", "east-b": "east", "west-a": "west", "west-b": "west" };
const domains = Object.keys(regions);
const perDomain = (count: number): Readonly<Record<string, number>> =>
    Object.fromEntries(domains.map(domain => [domain, count]));

describe("membership of a fleet", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(() => {
        time = installFakeTime();
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    const start = async (
        hosts: number,
        onPeerCall: NonNullable<WorkflowClusterOptions["onPeerCall"]> = () => undefined,
    ): Promise<void> => {
        cluster = createWorkflowCluster({
            hosts: perDomain(hosts),
            workers: perDomain(2),
            cpuOf: () => 1_000,
            regions,
            largestCell: 5,
            onPeerCall,
        });
        await time.advance(warmUp);
    };
    const storeCalls = (): number =>
        [...cluster.platform.network.counts].filter(([path]) => path.startsWith("/api/rows"))
            .reduce((sum, [, count]) => sum + count, 0);

    /** Average calls of a host to peers and to the store in ten seconds without load. */
    const costOf = async (hosts: number): Promise<{ readonly peerCalls: number; readonly storeCalls: number; }> => {
        let peerCalls = 0;
        await start(hosts, () => {
            peerCalls += 1;
        });
        const before = { peerCalls, storeCalls: storeCalls() };
        await time.advance(10_000);
        const count = hosts * domains.length;
        const cost = {
            peerCalls: (peerCalls - before.peerCalls) / count,
            storeCalls: (storeCalls() - before.storeCalls) / count,
        };
        cluster.stop();
        time.restore();
        time = installFakeTime();
        return cost;
    };

    // Guards against heartbeats from every host to every other, and reads of all hosts' rows by every host.
    it("needs no more calls per host in a fleet five times as large", async () => {
        const small = await costOf(3);
        const large = await costOf(15);
        expect(large.peerCalls).toBeLessThanOrEqual(small.peerCalls);
        expect(large.storeCalls).toBeLessThanOrEqual(small.storeCalls);
        await start(1);
    }, 120_000);

    // Guards against connections from every host to every other when a fleet starts.
    it("starts without calls from every host to every other", async () => {
        const pairs = new Set<string>();
        const hosts = 10;
        await start(hosts, (...[from, , to]) => {
            pairs.add(`${from} ${to}`);
        });
        const count = hosts * domains.length;
        // Two holders and four relays, each of which calls all hosts at most.
        expect(pairs.size).toBeLessThanOrEqual(6 * count);
    });

    // Guards against a host that deposes the holder because it is cut off from its peers, but not from the store.
    it("keeps a holder that only one host can't reach", async () => {
        await start(2);
        const holderRows = (): readonly unknown[] =>
            cluster.platform.store.rows("cells").filter(row => row.key === "holder").map(row => row.value);
        const before = holderRows();
        const holders = new Set(before.map(value => (value as { host: string; }).host));
        const other = [...cluster.hosts.keys()].find(id => !holders.has(id)) ?? "";
        const heal = cluster.isolatePeers(other);
        await time.advance(4_000);
        heal();
        await time.advance(2_000);
        expect(holderRows()).toEqual(before);
    });

    // Guards against a host that is not told the holders because it was removed from the membership while cut off.
    it("readmits a host that was cut off until it was removed", async () => {
        await start(2);
        const holders = new Set(
            cluster.platform.store.rows("cells").filter(row => row.key === "holder")
                .map(row => (row.value as { host?: string; }).host),
        );
        const other = [...cluster.hosts.keys()].find(id => !holders.has(id)) ?? "";
        const heal = cluster.isolate(other);
        await time.advance(25_000);
        heal();
        await time.advance(3_000);
        const answer = cluster.submit(other, "00000000000000a1", [{ count: 1 }], { work: 100 });
        await time.advance(2_000);
        expect((await answer).kind).toBe("accepted");
    });
});
