import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { RegionLink } from "../../src/workflow/region-link.js";
import { createRegionLink } from "../../src/workflow/region-link.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { largeConfiguration } from "./large-configuration.js";

const warmUp = 5_000;
/** Milliseconds after which every host has to have a version. */
const bound = 2_500;
/** Milliseconds in which each relay says that it is one. */
const noticeTime = 500;
/** Megabits per second between the regions. */
const linkRate = 42;
/** Milliseconds between versions that follow each other quickly, and their number. */
const stormInterval = 160;
const stormLength = 27;
const [near, far] = ["near", "far"] as const;

const sizeOf = (configuration: object): number => Buffer.from(JSON.stringify(configuration)).toString("base64").length;

describe("a version of the configuration, with two regions", () => {
    let time: FakeTime;
    let link: RegionLink;
    let cluster: WorkflowCluster;
    /** Hosts that have told others of a version. */
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
    const storeCut = (ids: readonly string[]): () => void =>
        cluster.platform.network.addFault({
            matches: (from, call) => ids.includes(from) && call.address === cluster.platform.storeAddress,
            action: "cut",
        });
    const waitFor = async (version: number, ids?: readonly string[], limit = bound): Promise<boolean> =>
        time.advanceUntil(() => allHave(version, ids), limit);
    /** Hosts that tell others of a new version, in steady state. */
    const relaysOf = async (version: number): Promise<string[]> => {
        relays.clear();
        cluster.platform.configure(largeConfiguration(version));
        await waitFor(version);
        await time.advance(noticeTime);
        return [...relays];
    };

    // Guards against a narrow link that each host of a region loads with a copy of its own.
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

    // Guards against hosts that fall behind versions in quick succession and then wait longer the more they missed.
    it("reaches every host within the bound, also one of many in quick succession", async () => {
        const late: string[] = [];
        const sentAt: number[] = [];
        for (let number = 0; number < stormLength; number += 1) {
            cluster.platform.configure(largeConfiguration(20 + number));
            sentAt.push(time.now());
            await time.advance(stormInterval);
            const due = sentAt.filter(at => time.now() - at > bound).length;
            late.push(...[...cluster.hosts.keys()].filter(id => due > 0 && versionOf(id) < 20 + due - 1));
        }
        expect(late).toEqual([]);
        expect(await waitFor(20 + stormLength - 1)).toBe(true);
    });

    // Guards against hosts of which all depend on a few: these are killed.
    it.each([near, far])("reaches all hosts after the relays of the %s region were killed", async region => {
        const killed = (await relaysOf(30)).filter(id => id.startsWith(`h-${region}`));
        expect(killed).toHaveLength(2);
        killed.forEach(cluster.kill);
        cluster.platform.configure(largeConfiguration(31));
        expect(await waitFor(31)).toBe(true);
    });

    // Guards against hosts that wait for relays which are killed all at once, in both regions.
    it("reaches all hosts after all relays were killed", async () => {
        (await relaysOf(32)).forEach(cluster.kill);
        cluster.platform.configure(largeConfiguration(33));
        expect(await waitFor(33)).toBe(true);
    });

    // Guards against hosts that wait for relays to which the store is silent.
    it("reaches all hosts while all relays are cut off from the store, these too", async () => {
        const heal = storeCut(await relaysOf(40));
        cluster.platform.configure(largeConfiguration(41));
        expect(await waitFor(41)).toBe(true);
        heal();
    });

    // Guards against relays that stay out of work, or hosts that go on reading, once a fault is over.
    it("is told by two relays in each region again once killed ones are back", async () => {
        const killed = await relaysOf(42);
        killed.forEach(cluster.kill);
        await time.advance(bound);
        killed.forEach(cluster.start);
        await time.advance(bound);
        expect((await relaysOf(43)).toSorted()).toEqual(killed.toSorted());
    });

    // Guards against hosts that only the store could tell: peers of the other region can.
    it("reaches a region that is cut off from the store", async () => {
        const heal = storeCut(farHosts());
        cluster.platform.configure(largeConfiguration(50));
        expect(await waitFor(50)).toBe(true);
        heal();
    });

    // Guards against hosts that only peers could tell: the store can.
    it("reaches a host that is cut off from its peers but not from the store", async () => {
        const [host = ""] = farHosts();
        const heal = cluster.isolatePeers(host);
        cluster.platform.configure(largeConfiguration(60));
        expect(await waitFor(60)).toBe(true);
        heal();
    });

    // Guards against a host that starts while the store is away and serves nothing: peers have the configuration.
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

    // Guards against going back: a host that was told a version by a peer reads an older one nowhere.
    it("never goes back on any host while readers change and answers are late", async () => {
        const newest = new Map<string, number>();
        const wentBack: string[] = [];
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
                    wentBack.push(id);
                }
                newest.set(id, versionOf(id));
            }
        }
        heal();
        expect(wentBack).toEqual([]);
        expect(await waitFor(139)).toBe(true);
        const first = [...cluster.hosts.values()][0]?.configuration();
        for (const host of cluster.hosts.values()) {
            expect(host.configuration()?.queues.toSorted((left, right) => left.name < right.name ? -1 : 1))
                .toEqual(first?.queues.toSorted((left, right) => left.name < right.name ? -1 : 1));
        }
    });
});
