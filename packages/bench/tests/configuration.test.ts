import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { LocalCluster, LocalHost } from "../src/cluster/local-cluster.js";
import { createLocalCluster } from "../src/cluster/local-cluster.js";
import { smallDocument, smallHiddenBehaviour } from "../src/cluster/small-environment.js";
import type { FakeTime } from "../src/util/fake-time.js";
import { installFakeTime } from "../src/util/fake-time.js";

const propagationLimitMs = 6_000;
const createChangedDocument = (limit: number): string =>
    `${smallDocument}\n[limits]\nrequestsPerTeam = ${String(limit)}\n`;
const environmentVersions = (cluster: LocalCluster): readonly number[] =>
    cluster.runningHosts().map(host => host.entryHost()?.status().environmentVersion ?? 0);

describe("an environment document", () => {
    let time: FakeTime;
    let cluster: LocalCluster;
    const firstHost = (): LocalHost => {
        const [host] = cluster.runningHosts();
        if (host === undefined) {
            throw new Error("no host runs");
        }
        return host;
    };
    const promote = async (host: LocalHost, text: string, base: number): Promise<{ status: number; body: string; }> => {
        const response = cluster.promote(host, text, base);
        await time.advance(15_000);
        return response;
    };
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createLocalCluster({
            seed: 3,
            hosts: { "east-a": 3, "east-b": 3, "west-a": 3 },
            workers: { "east-a": 3, "east-b": 3, "west-a": 3 },
            document: smallDocument,
            hidden: smallHiddenBehaviour,
        });
        await time.advance(6_000);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    it("is in force on all hosts within 6 s and is fetched at most once per host", async () => {
        let fetches = 0;
        cluster.network.onMessage = kind => {
            fetches += kind === "environment-wanted" ? 1 : 0;
        };
        void cluster.promote(firstHost(), createChangedDocument(7_000), 1);
        await time.advance(100);
        expect(
            await time.advanceUntil(
                () => environmentVersions(cluster).every(version => version === 2),
                propagationLimitMs,
            ),
        ).toBe(
            true,
        );
        expect(fetches).toBeLessThanOrEqual(cluster.hosts.length);
    });

    it("is accepted from one of ten concurrent operators; the others get the changed fields", async () => {
        const promotions = [...Array(10).keys()].map(number => {
            const host = cluster.hosts[number % cluster.hosts.length] ?? firstHost();
            return cluster.promote(host, createChangedDocument(8_000 + number), 1);
        });
        await time.advance(15_000);
        const responses = await Promise.all(promotions);
        expect(responses.filter(response => response.status === 200)).toHaveLength(1);
        const conflicts = responses.filter(response => response.status === 409)
            .map(response => JSON.parse(response.body) as { changedFields: string[]; });
        expect(conflicts).toHaveLength(9);
        expect(conflicts.every(conflict => conflict.changedFields.includes("limits.requestsPerTeam"))).toBe(true);
    });

    it("is refused during a store outage, and the version in force stays", async () => {
        const removeFault = cluster.standIn.faults.add({ door: "table", action: "outage" });
        expect((await promote(firstHost(), createChangedDocument(9_000), 1)).status).toBe(503);
        removeFault();
        await time.advance(propagationLimitMs);
        expect(new Set(environmentVersions(cluster))).toEqual(new Set([1]));
    });

    it("is accepted once although the replies to its write are lost", async () => {
        cluster.standIn.faults.add({ door: "table", action: "lose-reply", path: "/table/commit", times: 3 });
        expect((await promote(firstHost(), createChangedDocument(9_000), 1)).status).toBe(200);
        expect(new Set(environmentVersions(cluster))).toEqual(new Set([2]));
    });

    it("reaches a host that starts during a store outage, from its peers", async () => {
        await promote(firstHost(), createChangedDocument(9_000), 1);
        cluster.standIn.faults.add({ door: "table", action: "outage" });
        const newHost = cluster.startHost("east-a-9", "east-a");
        await time.advance(10_000);
        expect(newHost.entryHost()?.status()).toMatchObject({ environmentVersion: 2, isReady: true });
    });

    it("reaches a failure domain after a network cut; until then hosts there report the age of theirs", async () => {
        const injectionPoints = ["table", "objects", "live-list"] as const;
        const faultRemovals = injectionPoints.map(door =>
            cluster.standIn.faults.add({ door, from: "west-a", action: "drop" })
        );
        cluster.network.cut("west-a", "east-a");
        cluster.network.cut("west-a", "east-b");
        await time.advance(5_000);
        expect((await promote(firstHost(), createChangedDocument(9_000), 1)).status).toBe(200);
        const westHosts = cluster.hosts.filter(host => host.failureDomain === "west-a");
        const statuses = westHosts.map(host => host.entryHost()?.status());
        expect(statuses.map(status => status?.environmentVersion)).toEqual([1, 1, 1]);
        expect(statuses.every(status => (status?.confirmedAge ?? 0) > 10_000)).toBe(true);
        faultRemovals.forEach(remove => {
            remove();
        });
        cluster.network.heal();
        await time.advance(propagationLimitMs);
        expect(new Set(environmentVersions(cluster))).toEqual(new Set([2]));
    });
});
