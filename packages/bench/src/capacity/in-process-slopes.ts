import { createWorkers } from "@jayfront/platform-stand-in";
import type { BatchWork, CellScheduler } from "@jayfront/policy";
import { createCellScheduler, createLatencyModels, createTailLatencyGuard } from "@jayfront/policy";
import { environmentDocument, failureDomainId, jobId, parseTomlDocument } from "@jayfront/world";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import { createLocalCluster } from "../cluster/local-cluster.js";
import { smallDocument, smallHiddenBehaviour } from "../cluster/small-environment.js";
import { installFakeTime } from "../util/fake-time.js";
import type { Slope } from "./slope.js";
import { fitSlope } from "./slope.js";

const schedulerSizes = [100, 300, 1_000, 3_000];
const placementsPerWorker = 15;
const warmUpReviews = 20;
const jobSizes = [250, 500, 1_000, 2_000];
const clusterSizes = [3, 6, 9, 12];
const measureTimeMs = 10_000;

const document = parseTomlDocument(smallDocument, environmentDocument).unwrapOrElse(() => {
    throw new Error("the small document is not valid; correct small-environment.ts");
});

const createScheduler = (workers: number): CellScheduler => {
    const guard = createTailLatencyGuard({
        document: () => document,
        models: createLatencyModels(() => document),
        evictionsOf: () => 0,
        laxityOf: () => 0,
    });
    const scheduler = createCellScheduler({
        document: () => document,
        random: xoroshiro128plus(1),
        score: guard.score,
        canEverPlace: guard.canEverPlace,
        tailHeadroomShare: guard.tailHeadroomShare,
    });
    const group = {
        failureDomain: "one",
        count: workers,
        cores: 64,
        memory: 250,
        accelerators: 0,
        slots: 8,
        connections: 64,
        rack: 8,
    };
    for (const worker of createWorkers([group], () => "127.0.0.1:1")) {
        scheduler.putWorker(worker);
        scheduler.setUsable(worker.id, true);
        // Records low latencies of both services, so that every placement is scored by their tail latencies.
        guard.recordRequest(worker.id, "render", 5);
        guard.recordRequest(worker.id, "email", 5);
    }
    for (let review = 0; review < warmUpReviews; review += 1) {
        for (const account of scheduler.accounts()) {
            guard.recordRequest(account.worker().id, "render", 5);
            guard.recordRequest(account.worker().id, "email", 5);
        }
        guard.review(scheduler.accounts());
    }
    return scheduler;
};
const createWork = (tasks: number): { work: BatchWork; pending: Parameters<CellScheduler["addWork"]>[1]; } => ({
    work: {
        key: "job/0",
        job: jobId("job"),
        team: "bulk",
        batchClass: "path",
        resources: { cores: 2, memory: 2, accelerators: 0 },
        runTime: 10,
        deadline: Infinity,
        payload: "",
    },
    pending: [...Array(tasks).keys()]
        .map(index => ({ index, attempt: 1, checkpoint: undefined, evictions: 0, failedOn: [] })),
});

/** Fills the workers with tasks; returns placements per second of processor time and heap bytes per worker. */
const measurePlacements = (workers: number): { rate: number; heapPerWorker: number; } => {
    globalThis.gc?.();
    const heapBefore = process.memoryUsage().heapUsed;
    const scheduler = createScheduler(workers);
    const tasks = workers * placementsPerWorker;
    const { work, pending } = createWork(tasks);
    scheduler.addWork(work, pending);
    const initial = process.cpuUsage();
    let placed = 0;
    // The starts of a worker per time window are limited, so that filling all workers takes several rounds.
    for (let round = 0; placed < tasks && round < 10; round += 1) {
        placed += scheduler.place(tasks, () => Infinity).length;
    }
    const cpuUsage = process.cpuUsage(initial);
    globalThis.gc?.();
    const heapPerWorker = (process.memoryUsage().heapUsed - heapBefore) / workers;
    return { rate: placed / ((cpuUsage.user + cpuUsage.system) / 1e6), heapPerWorker };
};

/** Measures the processor time and the heap of the scheduler alone, without hosts. */
export const measureDecisions = (): readonly Slope[] => {
    measurePlacements(schedulerSizes[0] ?? 100);
    const figures = schedulerSizes.map(size => ({ size, ...measurePlacements(size) }));
    return [
        fitSlope(
            "placements a second",
            "log2 of the workers",
            "placements a second",
            figures.map(({ size, rate }) => [Math.log2(size), rate]),
        ),
        fitSlope(
            "cost of a placement",
            "log2 of the workers",
            "microseconds",
            figures.map(({ size, rate }) => [Math.log2(size), 1e6 / rate]),
        ),
        fitSlope(
            "scheduler heap",
            "workers",
            "KB",
            figures.map(({ size, heapPerWorker }) => [size, heapPerWorker * size / 1_024]),
        ),
    ];
};

/** Measures the bytes of messages whose length depends on the number of items in them. */
export const measureMessages = (): readonly Slope[] => {
    const worker = createWorkers([{
        failureDomain: "one",
        count: 1,
        cores: 64,
        memory: 250,
        accelerators: 2,
        slots: 8,
        connections: 64,
        rack: 8,
    }], () => "10.20.30.40:20000")[0];
    const runningTask = {
        task: "0f8fad5b-d9cb-469f-a165-70867728950e/123",
        attempt: 1_001,
        team: "engraving",
        batchClass: "toolpath",
        resources: { cores: 2, memory: 4, accelerators: 0 },
        payload: '{"work":2}',
        age: 12_345.5,
        level: 1,
    };
    const cellClaim = {
        cell: `${failureDomainId("worcester-a")}/12`,
        epoch: 123,
        role: "holder",
        freeSlots: 123,
        queued: 0,
    };
    return [
        fitSlope(
            "live list read",
            "workers listed",
            "bytes",
            schedulerSizes.map(size => [size, JSON.stringify(Array(size).fill(worker)).length]),
        ),
        fitSlope(
            "worker status reply",
            "tasks running",
            "bytes",
            [1, 4, 8, 16].map(
                size => [
                    size,
                    JSON.stringify({
                        running: Array(size).fill(runningTask),
                        ended: [],
                        foreignRequests: 0,
                        reports: [],
                        state: "live",
                    }).length,
                ],
            ),
        ),
        fitSlope(
            "heartbeat",
            "cells held",
            "bytes",
            [1, 4, 8, 16].map(size => [size, JSON.stringify(Array(size).fill(cellClaim)).length + 230]),
        ),
    ];
};

/** Counts store transactions, store reads and peer messages in fake time. */
export const measureStoreAndPeerTraffic = async (): Promise<readonly Slope[]> => {
    const writes: [number, number][] = [];
    for (const tasks of jobSizes) {
        const time = installFakeTime();
        const cluster = createLocalCluster({
            seed: 1,
            hosts: { "east-a": 3 },
            workers: { "east-a": 12 },
            document: smallDocument,
            hidden: smallHiddenBehaviour,
        });
        await time.advance(measureTimeMs);
        const initial = cluster.standIn.table.counts.transactions;
        const [host] = cluster.runningHosts();
        const job = {
            team: "bulk",
            batchClass: "path",
            tasks,
            resources: { cores: 1, memory: 1 },
            runTime: 4,
            payload: '{"work":4}',
        };
        const sent = host === undefined ? undefined : cluster.send(host, { path: "/jobs", body: JSON.stringify(job) });
        await time.advance(1_000);
        await sent;
        await time.advance(tasks * 100 + 30_000);
        writes.push([tasks, cluster.standIn.table.counts.transactions - initial]);
        cluster.stop();
        time.restore();
    }
    const messages: [number, number][] = [];
    const idleReads: [number, number][] = [];
    for (const hosts of clusterSizes) {
        const time = installFakeTime();
        const cluster = createLocalCluster({
            seed: 1,
            hosts: { "east-a": hosts },
            workers: { "east-a": 6 },
            document: smallDocument,
            hidden: smallHiddenBehaviour,
        });
        await time.advance(measureTimeMs);
        const initial = { calls: cluster.network.counts.calls, reads: cluster.standIn.table.counts.reads };
        await time.advance(measureTimeMs);
        messages.push([hosts, (cluster.network.counts.calls - initial.calls) / (measureTimeMs / 1_000) / hosts]);
        idleReads.push([hosts, (cluster.standIn.table.counts.reads - initial.reads) / (measureTimeMs / 1_000)]);
        cluster.stop();
        time.restore();
    }
    return [
        fitSlope("store transactions of a job", "tasks", "transactions", writes),
        fitSlope("control messages sent by a host", "hosts of the domain", "messages a second", messages),
        fitSlope("store reads of a domain with 3 cells", "hosts of the domain", "reads a second", idleReads),
    ];
};
