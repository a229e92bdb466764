import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { LocalCluster } from "../src/cluster/local-cluster.js";
import { createLocalCluster } from "../src/cluster/local-cluster.js";
import { smallDocument, smallHiddenBehaviour } from "../src/cluster/small-environment.js";
import { startCallerLoad } from "../src/promises/caller-load.js";
import { checkJournal } from "../src/promises/check-journal.js";
import type { FakeTime } from "../src/util/fake-time.js";
import { installFakeTime } from "../src/util/fake-time.js";

/** Enough for the notice, the handovers and the requests in flight of one host. */
const drainTimeoutMs = 40_000;

describe("a planned change of hosts", () => {
    let time: FakeTime;
    let cluster: LocalCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createLocalCluster({
            seed: 9,
            hosts: { "east-a": 3 },
            workers: { "east-a": 6 },
            document: smallDocument,
            hidden: smallHiddenBehaviour,
        });
        await time.advance(6_000);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    it("drains every host in turn without breaking a connection or losing a task", async () => {
        const [submittingHost] = cluster.runningHosts();
        const body = JSON.stringify({
            team: "bulk",
            batchClass: "path",
            tasks: 300,
            resources: { cores: 1, memory: 1 },
            runTime: 5,
            payload: '{"work":5}',
        });
        const submitted = submittingHost === undefined
            ? undefined
            : cluster.send(submittingHost, { path: "/jobs", body });
        await time.advance(200);
        const { id } = JSON.parse((await submitted)?.body ?? "{}") as { id: string; };
        const load = startCallerLoad({ cluster, idempotentInterval: 20, nonIdempotentInterval: 200 });
        const drained = new Set<string>();
        for (const host of [...cluster.hosts]) {
            cluster.startHost(`${host.id}-next`, host.failureDomain);
            await time.advance(6_000);
            drained.add(host.id);
            let isDrained = false;
            void host.drain().then(() => {
                isDrained = true;
            });
            expect([host.id, await time.advanceUntil(() => isDrained, drainTimeoutMs)]).toEqual([host.id, true]);
        }
        const stopped = load.stop();
        await time.advance(60_000);
        await stopped;
        const cutOff = load.attempts.filter(attempt => attempt.response.problem === "connection-lost");
        expect(cutOff).toEqual([]);
        const refused = load.attempts.filter(attempt =>
            attempt.service === "render" && attempt.response.result !== "completed"
        );
        expect(refused.length / load.attempts.length).toBeLessThan(0.01);
        const [queriedHost] = cluster.runningHosts();
        const status = queriedHost === undefined
            ? undefined
            : cluster.send(queriedHost, { method: "GET", path: `/jobs/${id}` });
        await time.advance(200);
        expect(JSON.parse((await status)?.body ?? "{}")).toMatchObject({ state: "settled", finished: 300 });
        expect(checkJournal({
            entries: cluster.standIn.journal.entries,
            attempts: load.attempts,
            nonIdempotentJobs: new Set(),
            drainingSince: new Map(),
            drainedHosts: drained,
        })).toEqual([]);
    });

    it("moves each cell at most once when a host joins", async () => {
        const before = cluster.runningHosts().flatMap(host => host.entryHost()?.status().cells ?? []);
        cluster.startHost("east-a-9", "east-a");
        await time.advance(20_000);
        const after = cluster.runningHosts().flatMap(host => host.entryHost()?.status().cells ?? []);
        const moves = after.reduce((sum, cell) => sum + cell.epoch, 0)
            - before.reduce((sum, cell) => sum + cell.epoch, 0);
        expect(after).toHaveLength(before.length);
        expect(moves).toBeLessThanOrEqual(before.length);
    });
});
