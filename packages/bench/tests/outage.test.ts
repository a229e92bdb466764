import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { LocalCluster } from "../src/cluster/local-cluster.js";
import { createLocalCluster } from "../src/cluster/local-cluster.js";
import { smallDocument, smallHiddenBehaviour } from "../src/cluster/small-environment.js";
import { startCallerLoad } from "../src/promises/caller-load.js";
import { checkJournal } from "../src/promises/check-journal.js";
import type { FakeTime } from "../src/util/fake-time.js";
import { installFakeTime } from "../src/util/fake-time.js";

const hourMs = 3_600_000;
const maxWritesPerSecond = 200;

const createJob = (tasks: number, work: number): string =>
    JSON.stringify({
        team: "bulk",
        batchClass: "path",
        tasks,
        resources: { cores: 1, memory: 1 },
        runTime: work,
        payload: JSON.stringify({ work }),
    });
const submit = async (cluster: LocalCluster, time: FakeTime, body: string): Promise<{ id: string; }> => {
    const [host] = cluster.runningHosts();
    const responsePromise = host === undefined ? undefined : cluster.send(host, { path: "/jobs", body });
    await time.advance(200);
    return JSON.parse((await responsePromise)?.body ?? "{}") as { id: string; };
};
const statusOf = async (cluster: LocalCluster, time: FakeTime, id: string): Promise<unknown> => {
    const [host] = cluster.runningHosts();
    const responsePromise = host === undefined ? undefined : cluster.send(host, { method: "GET", path: `/jobs/${id}` });
    await time.advance(200);
    return JSON.parse((await responsePromise)?.body ?? "{}") as unknown;
};

describe("a cluster", () => {
    let time: FakeTime;
    let cluster: LocalCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createLocalCluster({
            seed: 5,
            hosts: { "east-a": 2, "east-b": 2 },
            workers: { "east-a": 4, "east-b": 4 },
            document: smallDocument,
            hidden: smallHiddenBehaviour,
        });
        await time.advance(6_000);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    it("works through an hour of store outage, refuses what needs the store, and resumes without a burst", async () => {
        const { id } = await submit(cluster, time, createJob(200, 60));
        await time.advance(3_000);
        const load = startCallerLoad({ cluster, idempotentInterval: 10_000, nonIdempotentInterval: 20_000 });
        const endOutage = cluster.standIn.faults.add({ door: "table", action: "outage" });
        const before = cluster.standIn.journal.counts.get("task-ended:finished") ?? 0;
        await time.advance(hourMs);
        const finished = (cluster.standIn.journal.counts.get("task-ended:finished") ?? 0) - before;
        expect(finished).toBe(200);
        const { attempts } = load;
        const renders = attempts.filter(attempt => attempt.service === "render");
        expect(renders.filter(attempt => attempt.response.result === "completed").length).toBeGreaterThan(350);
        const emails = attempts.filter(attempt =>
            attempt.service === "email" && attempt.response.problem !== undefined
        );
        expect(new Set(emails.map(attempt => `${attempt.response.result} ${attempt.response.problem ?? ""}`)))
            .toEqual(new Set(["not-run store-unavailable"]));
        endOutage();
        let mostWritesPerSecond = 0;
        for (let second = 0; second < 60; second += 1) {
            const writesBefore = cluster.standIn.table.counts.transactions;
            await time.advance(1_000);
            mostWritesPerSecond = Math.max(
                mostWritesPerSecond,
                cluster.standIn.table.counts.transactions - writesBefore,
            );
        }
        expect(mostWritesPerSecond).toBeLessThan(maxWritesPerSecond);
        const stopped = load.stop();
        await time.advance(10_000);
        await stopped;
        expect(await statusOf(cluster, time, id)).toMatchObject({ state: "settled", finished: 200 });
        expect(checkJournal({
            entries: cluster.standIn.journal.entries,
            attempts,
            nonIdempotentJobs: new Set(),
            drainingSince: new Map(),
            drainedHosts: new Set(),
        })).toEqual([]);
    });

    it("lets a caretaker serve for a holder that dies in a store outage, and a holder replace it later", async () => {
        await submit(cluster, time, createJob(400, 20));
        await time.advance(3_000);
        const killedHost = cluster.runningHosts().find(host =>
            host.entryHost()?.status().cells.some(cell => cell.workers > 0) === true
        );
        const cells = killedHost?.entryHost()?.status().cells.filter(cell => cell.workers > 0).map(cell => cell.cell)
            ?? [];
        const endOutage = cluster.standIn.faults.add({ door: "table", action: "outage" });
        killedHost?.kill();
        await time.advance(12_000);
        const claims = cluster.runningHosts().flatMap(host => host.entryHost()?.status().cells ?? [])
            .filter(cell => cells.includes(cell.cell));
        // A caretaker serves requests on the workers, but starts no task.
        expect(claims.map(claim => claim.role)).toEqual(cells.map(() => "caretaker"));
        expect(claims.reduce((sum, claim) => sum + claim.freeSlots, 0)).toBeGreaterThan(0);
        endOutage();
        await time.advance(10_000);
        const after = cluster.runningHosts().flatMap(host => host.entryHost()?.status().cells ?? [])
            .filter(cell => cells.includes(cell.cell));
        expect(after.map(claim => claim.role)).toEqual(cells.map(() => "holder"));
    });

    it("takes at most 0.05 store transactions per idempotent task of a job of 1,000", async () => {
        const before = cluster.standIn.table.counts.transactions;
        const { id } = await submit(cluster, time, createJob(1_000, 4));
        await time.advance(180_000);
        expect(await statusOf(cluster, time, id)).toMatchObject({ state: "settled", finished: 1_000 });
        expect((cluster.standIn.table.counts.transactions - before) / 1_000).toBeLessThanOrEqual(0.05);
    });
});
