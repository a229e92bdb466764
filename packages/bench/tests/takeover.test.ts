import type { CellId } from "@jayfront/world";
import { cellId, cellOfWorker, failureDomainId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { LocalCluster, LocalHost } from "../src/cluster/local-cluster.js";
import { createLocalCluster } from "../src/cluster/local-cluster.js";
import { smallDocument, smallHiddenBehaviour } from "../src/cluster/small-environment.js";
import { countTasksFinishedTwice } from "../src/util/count-tasks-finished-twice.js";
import type { FakeTime } from "../src/util/fake-time.js";
import { installFakeTime } from "../src/util/fake-time.js";

const warmUpMs = 8_000;

const createCluster = (seed: number): LocalCluster =>
    createLocalCluster({
        seed,
        hosts: { "east-a": 3 },
        workers: { "east-a": 6 },
        document: smallDocument,
        hidden: smallHiddenBehaviour,
    });
const holderOf = (cluster: LocalCluster, cell: CellId): LocalHost | undefined =>
    cluster.runningHosts().find(host =>
        host.entryHost()?.status().cells.some(claim => claim.cell === cell && claim.role === "holder")
    );
const countStartsSince = (cluster: LocalCluster, since: number): number =>
    cluster.standIn.journal.entries.filter(entry => entry.kind === "task-started" && entry.at > since).length;
const submit = async (cluster: LocalCluster, time: FakeTime, job: object): Promise<string> => {
    const [host] = cluster.runningHosts();
    if (host === undefined) {
        throw new Error("no host runs");
    }
    const responsePromise = cluster.send(host, { path: "/jobs", body: JSON.stringify(job) });
    await time.advance(100);
    return (JSON.parse((await responsePromise).body) as { id: string; }).id;
};
const createJob = (tasks: number, runTime: number, extra: object = {}): object => ({
    team: "bulk",
    batchClass: "path",
    tasks,
    resources: { cores: 1, memory: 1 },
    runTime,
    payload: JSON.stringify({ work: runTime }),
    ...extra,
});

describe("takeover of a cell", () => {
    let time: FakeTime;
    let cluster: LocalCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createCluster(1);
        await time.advance(warmUpMs);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    it("starts from every cell held once, with all workers", () => {
        const cells = cluster.runningHosts().flatMap(host => host.entryHost()?.status().cells ?? []);
        expect(cells.map(cell => cell.cell).sort()).toEqual(["east-a/0", "east-a/1", "east-a/2"]);
        expect(cells.reduce((sum, cell) => sum + cell.workers, 0)).toBe(6);
        expect(cluster.runningHosts().map(host => host.entryHost()?.status().cells.length)).toEqual([1, 1, 1]);
    });

    it("serves requests on a dead host's workers within 3 s and starts tasks within 10 s", async () => {
        await submit(cluster, time, createJob(400, 3));
        await time.advance(2_000);
        const hasWorkers = (host: LocalHost): boolean =>
            host.entryHost()?.status().cells.some(cell => cell.workers > 0) === true;
        const killedHost = cluster.runningHosts().find(hasWorkers);
        const lostCells =
            killedHost?.entryHost()?.status().cells.filter(cell => cell.workers > 0).map(cell => cell.cell) ?? [];
        expect(lostCells.length).toBeGreaterThan(0);
        killedHost?.kill();
        const killedAt = time.now();
        const isServed = (): boolean =>
            lostCells.every(cell =>
                (holderOf(cluster, cell)?.entryHost()?.status().cells.find(claim => claim.cell === cell)?.freeSlots
                    ?? 0) > 0
            );
        expect(await time.advanceUntil(isServed, 3_000)).toBe(true);
        const isFenced = (): boolean =>
            lostCells.every(cell => holderOf(cluster, cell)?.entryHost()?.isFenced(cell) === true);
        expect(await time.advanceUntil(isFenced, 10_000 - (time.now() - killedAt))).toBe(true);
        const fencedAt = time.now();
        expect(await time.advanceUntil(() => countStartsSince(cluster, fencedAt) > 0, 10_000 - (fencedAt - killedAt)))
            .toBe(
                true,
            );
    });

    it("finishes each task of a job once although a holder is killed", async () => {
        const id = await submit(cluster, time, createJob(120, 4));
        await time.advance(3_000);
        cluster.runningHosts()[0]?.kill();
        await time.advance(60_000);
        const [host] = cluster.runningHosts();
        const responsePromise = host === undefined
            ? undefined
            : cluster.send(host, { method: "GET", path: `/jobs/${id}` });
        await time.advance(100);
        const status = JSON.parse((await responsePromise)?.body ?? "{}") as { state: string; finished: number; };
        expect(status).toMatchObject({ state: "settled", finished: 120 });
        expect(countTasksFinishedTwice(cluster.standIn.journal.entries)).toBe(0);
        expect(cluster.standIn.journal.entries.filter(entry => entry.kind === "breach")).toEqual([]);
    });

    it("starts no task in a cell while a worker of its roster neither answers nor is proven gone", async () => {
        await submit(cluster, time, createJob(400, 3));
        await time.advance(2_000);
        const killedHost = cluster.runningHosts().find(host =>
            host.entryHost()?.status().cells.some(cell => cell.workers > 1)
        );
        const cell = killedHost?.entryHost()?.status().cells.find(claim => claim.workers > 1)?.cell
            ?? cellId(failureDomainId("none"), 0);
        const members = [...cluster.standIn.machines.values()]
            .filter(machine => cellOfWorker(machine.worker().id, failureDomainId("east-a"), 3) === cell);
        members[0]?.setPaused(true);
        killedHost?.kill();
        const killedAt = time.now();
        await time.advance(15_000);
        expect(holderOf(cluster, cell)?.entryHost()?.isFenced(cell)).toBe(false);
        const countStartsInCell = (): number =>
            cluster.standIn.journal.entries.filter(entry =>
                entry.kind === "task-started"
                && entry.at > killedAt
                && members.some(machine => machine.worker().id === entry.worker)
            ).length;
        expect(countStartsInCell()).toBe(0);
        members[0]?.setPaused(false);
        await time.advance(10_000);
        expect(holderOf(cluster, cell)?.entryHost()?.isFenced(cell)).toBe(true);
        expect(countStartsInCell()).toBeGreaterThan(0);
        expect(countTasksFinishedTwice(cluster.standIn.journal.entries)).toBe(0);
    });
});
