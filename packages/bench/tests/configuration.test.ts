import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { LocalCluster, LocalHost } from "../src/cluster/local-cluster.js";
import { createLocalCluster } from "../src/cluster/local-cluster.js";
import { smallDocument, smallHiddenBehaviour } from "../src/cluster/small-environment.js";
import type { FakeTime } from "../src/util/fake-time.js";
import { installFakeTime } from "../src/util/fake-time.js";

const limitOfSpread = 6_000;
const change = (limit: number): string => `${smallDocument}\n[limits]\nrequestsPerTeam = ${String(limit)}\n`;
const versions = (cluster: LocalCluster): readonly number[] =>
    cluster.runningHosts().map(host => host.entryHost()?.status().environmentVersion ?? 0);

describe("an environment document", () => {
    let time: FakeTime;
    let cluster: LocalCluster;
    const first = (): LocalHost => {
        const [host] = cluster.runningHosts();
        if (host === undefined) {
            throw new Error("no host runs");
        }
        return host;
    };
    const promote = async (host: LocalHost, text: string, base: number): Promise<{ status: number; body: string; }> => {
        const answer = cluster.promote(host, text, base);
        await time.advance(15_000);
        return answer;
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

    it("is in force on all hosts within 6 s, with few messages", async () => {
        let pulls = 0;
        cluster.network.onMessage = kind => {
            pulls += kind === "environment-wanted" ? 1 : 0;
        };
        void cluster.promote(first(), change(7_000), 1);
        await time.advance(100);
        expect(await time.advanceUntil(() => versions(cluster).every(version => version === 2), limitOfSpread)).toBe(
            true,
        );
        expect(pulls).toBeLessThanOrEqual(cluster.hosts.length);
    });

    it("is won by one of ten racing operators, and the others are shown the fields", async () => {
        const racing = [...Array(10).keys()].map(number => {
            const host = cluster.hosts[number % cluster.hosts.length] ?? first();
            return cluster.promote(host, change(8_000 + number), 1);
        });
        await time.advance(15_000);
        const answers = await Promise.all(racing);
        expect(answers.filter(answer => answer.status === 200)).toHaveLength(1);
        const conflicts = answers.filter(answer => answer.status === 409)
            .map(answer => JSON.parse(answer.body) as { changedFields: string[]; });
        expect(conflicts).toHaveLength(9);
        expect(conflicts.every(conflict => conflict.changedFields.includes("limits.requestsPerTeam"))).toBe(true);
    });

    it("is refused while the store is away, and nothing reverts", async () => {
        const heal = cluster.standIn.faults.add({ door: "table", action: "outage" });
        expect((await promote(first(), change(9_000), 1)).status).toBe(503);
        heal();
        await time.advance(limitOfSpread);
        expect(new Set(versions(cluster))).toEqual(new Set([1]));
    });

    it("is accepted once although the reply to its write is lost", async () => {
        cluster.standIn.faults.add({ door: "table", action: "lose-reply", path: "/table/commit", times: 3 });
        expect((await promote(first(), change(9_000), 1)).status).toBe(200);
        expect(new Set(versions(cluster))).toEqual(new Set([2]));
    });

    it("is taken by a host that is born beside peers while the store is away", async () => {
        await promote(first(), change(9_000), 1);
        cluster.standIn.faults.add({ door: "table", action: "outage" });
        const born = cluster.startHost("east-a-9", "east-a");
        await time.advance(10_000);
        expect(born.entryHost()?.status()).toMatchObject({ environmentVersion: 2, isReady: true });
    });

    it("reaches a failure domain that was cut off once it rejoins, and its age tells operators before", async () => {
        const cut = ["table", "objects", "live-list"] as const;
        const heal = cut.map(door => cluster.standIn.faults.add({ door, from: "west-a", action: "drop" }));
        cluster.network.cut("west-a", "east-a");
        cluster.network.cut("west-a", "east-b");
        await time.advance(5_000);
        expect((await promote(first(), change(9_000), 1)).status).toBe(200);
        const west = cluster.hosts.filter(host => host.failureDomain === "west-a");
        const statuses = west.map(host => host.entryHost()?.status());
        expect(statuses.map(status => status?.environmentVersion)).toEqual([1, 1, 1]);
        expect(statuses.every(status => (status?.confirmedAge ?? 0) > 10_000)).toBe(true);
        heal.forEach(end => {
            end();
        });
        cluster.network.heal();
        await time.advance(limitOfSpread);
        expect(new Set(versions(cluster))).toEqual(new Set([2]));
    });
});
