import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { RegionLink } from "../../src/workflow/region-link.js";
import { createRegionLink } from "../../src/workflow/region-link.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { largeConfiguration } from "./large-configuration.js";

/** Milliseconds from the start until the cluster serves requests. */
const warmUp = 5_000;
/** Milliseconds within which every host has to have a version. */
const bound = 2_500;
/** Milliseconds within which each relay sends a notice. */
const noticeTime = 500;
/** Rate of the link between the regions, in megabits per second. */
const linkRate = 42;
/** Milliseconds between versions in quick succession. */
const burstInterval = 160;
/** Number of versions in quick succession. */
const burstLength = 27;
const [near, far] = ["near", "far"] as const;

const sizeOf = (configuration: object): number => Buffer.from(JSON.stringify(configuration)).toString("base64").length;

describe("a configuration version, with two regions", () => {
    let time: FakeTime;
    let link: RegionLink;
    let cluster: WorkflowCluster;
    /** Hosts that have notified others of a version. */
    const relays = new Set<string>();
    beforeEach(async () => {
        time = installFakeTime();
        link = createRegionLink(linkRate);
        cluster = createWorkflowCluster({
            hosts: { "near-a": 8, "far-a": 5, "far-b": 5 },
            workers: { "near-a": 2, "far-a": 2, "far-b": 2 },
            regions: { "near-a": near, "far-a": far, "far-b": far },
            link,
            onPeerCall: (from, kind) => {
                if (kind === "configuration-notice") {
                    relays.add(from);
                }
            },
        });
        await time.advance(warmUp);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    const versionOf = (id: string): number => cluster.hosts.get(id)?.configuration()?.version ?? 0;
    const farHosts = (): string[] => [...cluster.hosts.keys()].filter(id => id.startsWith("h-far"));
    const allHave = (version: number, ids: readonly string[] = [...cluster.hosts.keys()]): boolean =>
        ids.every(id => versionOf(id) === version);
    const cutFromStore = (ids: readonly string[]): () => void =>
        cluster.platform.network.addFault({
            matches: (from, call) => ids.includes(from) && call.address === cluster.platform.storeAddress,
            action: "cut",
        });
    const waitFor = async (version: number, ids?: readonly string[], limit = bound): Promise<boolean> =>
        time.advanceUntil(() => allHave(version, ids), limit);
    /** Publishes a version and returns the hosts that notify others of it. */
    const relaysOf = async (version: number): Promise<string[]> => {
        relays.clear();
        cluster.platform.configure(largeConfiguration(version));
        await waitFor(version);
        await time.advance(noticeTime);
        return [...relays];
    };

    // Guards against a slow link that carries a copy for each host of a region.
    it("crosses the link a few times, not once for each host", async () => {
        cluster.platform.configure(largeConfiguration(10));
        await waitFor(10);
        await time.advance(bound);
        const before = link.bytesTransferred(near, far);
        cluster.platform.configure(largeConfiguration(11));
        expect(await waitFor(11)).toBe(true);
        await time.advance(bound);
        const copies = (link.bytesTransferred(near, far) - before) / sizeOf(largeConfiguration(11));
        expect(copies).toBeLessThan(4);
    });

    // Guards against hosts that miss versions in quick succession and then wait the longer the more they missed.
    it("reaches every host within the bound, also one of many in quick succession", async () => {
        const late: string[] = [];
        const sentAt: number[] = [];
        for (let number = 0; number < burstLength; number += 1) {
            cluster.platform.configure(largeConfiguration(20 + number));
            sentAt.push(time.now());
            await time.advance(burstInterval);
            const due = sentAt.filter(at => time.now() - at > bound).length;
            late.push(...[...cluster.hosts.keys()].filter(id => due > 0 && versionOf(id) < 20 + due - 1));
        }
        expect(late).toEqual([]);
        expect(await waitFor(20 + burstLength - 1)).toBe(true);
    });

    // Guards against hosts that depend on a few relays, which are killed.
    it.each([near, far])("reaches all hosts after the relays of the %s region were killed", async region => {
        const killed = (await relaysOf(30)).filter(id => id.startsWith(`h-${region}`));
        expect(killed).toHaveLength(2);
        killed.forEach(cluster.kill);
        cluster.platform.configure(largeConfiguration(31));
        expect(await waitFor(31)).toBe(true);
    });

    // Guards against hosts that wait for relays of both regions, which are killed at the same time.
    it("reaches all hosts after all relays were killed", async () => {
        (await relaysOf(32)).forEach(cluster.kill);
        cluster.platform.configure(largeConfiguration(33));
        expect(await waitFor(33)).toBe(true);
    });

    // Guards against hosts that wait for relays that get no answer from the store.
    it("reaches all hosts, relays included, while all relays are cut off from the store", async () => {
        const heal = cutFromStore(await relaysOf(40));
        cluster.platform.configure(largeConfiguration(41));
        expect(await waitFor(41)).toBe(true);
        heal();
    });

    // Guards against relays that do not resume, or other hosts that go on reading the store, after a fault.
    it("is relayed by the same hosts again once they are back after they were killed", async () => {
        const killed = await relaysOf(42);
        killed.forEach(cluster.kill);
        await time.advance(bound);
        killed.forEach(cluster.start);
        await time.advance(bound);
        expect((await relaysOf(43)).toSorted()).toEqual(killed.toSorted());
    });

    // Guards against hosts that learn of versions from the store only: peers of the other region can notify them.
    it("reaches a region that is cut off from the store", async () => {
        const heal = cutFromStore(farHosts());
        cluster.platform.configure(largeConfiguration(50));
        expect(await waitFor(50)).toBe(true);
        heal();
    });

    // Guards against hosts that learn of versions from peers only: they can read the store.
    it("reaches a host that is cut off from its peers but not from the store", async () => {
        const [host = ""] = farHosts();
        const heal = cluster.isolatePeers(host);
        cluster.platform.configure(largeConfiguration(60));
        expect(await waitFor(60)).toBe(true);
        heal();
    });

    // Guards against a host that starts while the store is unreachable and serves nothing, although peers have the
    // configuration.
    it("reaches a host that starts again while its region is cut off from the store", async () => {
        cluster.platform.configure(largeConfiguration(70));
        expect(await waitFor(70)).toBe(true);
        const [host = ""] = farHosts();
        const heal = cluster.platform.network.addFault({
            matches: (from, call) => from === host && call.path.includes("table=op"),
            action: "cut",
        });
        cluster.kill(host);
        await time.advance(500);
        cluster.start(host);
        expect(await waitFor(70, [host], 1_000)).toBe(true);
        heal();
    });

    // Guards against a late answer with an older version that replaces a newer one which the host got from a peer.
    it("never goes back on any host while readers change and answers are late", async () => {
        const newest = new Map<string, number>();
        const regressedHosts: string[] = [];
        const heal = cluster.platform.network.addFault({
            matches: (from, call) => Number(from.at(-1)) % 2 === 0 && call.path.includes("table=op"),
            action: "slow",
            delay: 800,
        });
        for (let number = 0; number < 60; number += 1) {
            cluster.platform.configure(largeConfiguration(80 + number));
            await time.advance(100);
            for (const id of cluster.hosts.keys()) {
                if (versionOf(id) < (newest.get(id) ?? 0)) {
                    regressedHosts.push(id);
                }
                newest.set(id, versionOf(id));
            }
        }
        heal();
        expect(regressedHosts).toEqual([]);
        expect(await waitFor(139)).toBe(true);
        const first = [...cluster.hosts.values()][0]?.configuration();
        for (const host of cluster.hosts.values()) {
            expect(host.configuration()?.queues.toSorted((left, right) => left.name < right.name ? -1 : 1))
                .toEqual(first?.queues.toSorted((left, right) => left.name < right.name ? -1 : 1));
        }
    });
});
