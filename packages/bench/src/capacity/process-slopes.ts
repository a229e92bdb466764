import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { sleep } from "@jayfront/world";

import type { ProcessCluster } from "../cluster/process-cluster.js";
import { startProcessCluster } from "../cluster/process-cluster.js";
import { callJson } from "../util/call-json.js";
import type { Slope } from "./slope.js";
import { fitSlope } from "./slope.js";

const measureTimeMs = 6_000;
const settleTimeMs = 4_000;
const workerCounts = [10, 40, 80, 160];
const requestsPerSecond = [25, 50, 100, 200];
const startsPerSecond = [50, 100, 200, 400];
const hostCounts = [2, 4, 6, 9];

const createPlatformText = (workers: number): string => `
[[workers]]
failureDomain = "one"
count = ${String(workers)}
cores = 64
memory = 250

[hidden.services]
render = { median = 20, spread = 1.5 }

[hidden.reserved]
cores = 4
memory = 16
`;
const environmentText = `
[teams.quick]

[teams.bulk]

[services.render]
team = "quick"
targetMs = 1000
endpoint = { cores = 4, memory = 16 }

[batchClasses.path]

[failureDomains.one]
region = "one"
cells = 9
`;

/** Values read from a host's `GET /metrics`, or their change per second. */
interface HostMetrics {
    readonly cpuSeconds: number;
    readonly residentBytes: number;
    /** Bytes of control messages sent to other entry hosts of the same failure domain. */
    readonly controlBytes: number;
}

const readMetrics = async (address: string): Promise<HostMetrics> => {
    const metricsText = String((await callJson({ address, method: "GET", path: "/metrics" })).value);
    const read = (pattern: RegExp): number => Number(pattern.exec(metricsText)?.[1] ?? 0);
    return {
        cpuSeconds: read(/^process_cpu_seconds_total ([\d.e+-]+)$/m),
        residentBytes: read(/^process_resident_memory_bytes ([\d.e+-]+)$/m),
        controlBytes: read(/^jayfront_link_bytes_total\{link="domain",purpose="control"\} ([\d.e+-]+)$/m),
    };
};

const runWithCluster = async <Value>(
    workers: number,
    hosts: number,
    action: (cluster: ProcessCluster) => Promise<Value>,
): Promise<Value> => {
    const folder = await mkdtemp(join(tmpdir(), "jayfront-slopes-"));
    const platformFile = join(folder, "platform.toml");
    const environmentFile = join(folder, "environment.toml");
    await writeFile(platformFile, createPlatformText(workers));
    await writeFile(environmentFile, environmentText);
    const cluster = await startProcessCluster({
        platformFile,
        environmentFile,
        failureDomains: ["one"],
        hostsPerDomain: hosts,
    });
    try {
        await cluster.waitForCells(9, workers);
        await sleep(settleTimeMs);
        return await action(cluster);
    }
    finally {
        await cluster.close();
        await rm(folder, { recursive: true, force: true });
    }
};

/** Measures the first host while `action` runs: changes per second over {@link measureTimeMs}, memory at the end. */
const measure = async (cluster: ProcessCluster, action: () => Promise<void>): Promise<HostMetrics> => {
    const address = cluster.hosts[0]?.address ?? "";
    const before = await readMetrics(address);
    await Promise.all([action(), sleep(measureTimeMs)]);
    const after = await readMetrics(address);
    const seconds = measureTimeMs / 1_000;
    return {
        cpuSeconds: (after.cpuSeconds - before.cpuSeconds) / seconds,
        residentBytes: after.residentBytes,
        controlBytes: (after.controlBytes - before.controlBytes) / seconds,
    };
};
const stayIdle = (): Promise<void> => Promise.resolve();

const measureWorkers = async (): Promise<readonly Slope[]> => {
    const cpu: [number, number][] = [];
    const memory: [number, number][] = [];
    for (const workers of workerCounts) {
        const figures = await runWithCluster(workers, 1, cluster => measure(cluster, stayIdle));
        cpu.push([workers, figures.cpuSeconds]);
        memory.push([workers, figures.residentBytes / 2 ** 20]);
    }
    return [
        fitSlope("holder processor time", "workers held", "share of a core", cpu),
        fitSlope("holder resident memory", "workers held", "MB", memory),
    ];
};
const measureRequests = async (): Promise<readonly Slope[]> =>
    runWithCluster(40, 1, async cluster => {
        const points: [number, number][] = [];
        for (const rate of requestsPerSecond) {
            const figures = await measure(cluster, async () => {
                const calls: Promise<unknown>[] = [];
                for (let sent = 0; sent < rate * measureTimeMs / 1_000; sent += 1) {
                    calls.push(
                        callJson({
                            address: cluster.hosts[0]?.address ?? "",
                            method: "POST",
                            path: "/services/render/x",
                            body: "x",
                        }).catch(() => undefined),
                    );
                    await sleep(1_000 / rate);
                }
                await Promise.all(calls);
            });
            points.push([rate, figures.cpuSeconds]);
        }
        return [fitSlope("holder processor time", "requests a second", "share of a core", points)];
    });
const measureStarts = async (): Promise<readonly Slope[]> =>
    runWithCluster(80, 1, async cluster => {
        const points: [number, number][] = [];
        for (const rate of startsPerSecond) {
            const figures = await measure(cluster, async () => {
                const tasks = rate * measureTimeMs / 1_000;
                const job = {
                    team: "bulk",
                    batchClass: "path",
                    tasks,
                    resources: { cores: 1, memory: 1 },
                    runTime: 1,
                    payload: JSON.stringify({ work: 1 }),
                };
                await callJson({ address: cluster.hosts[0]?.address ?? "", method: "POST", path: "/jobs", body: job });
            });
            points.push([rate, figures.cpuSeconds]);
            await sleep(settleTimeMs);
        }
        return [fitSlope("holder processor time", "task starts a second", "share of a core", points)];
    });
const measureHosts = async (): Promise<readonly Slope[]> => {
    const cpu: [number, number][] = [];
    const bytes: [number, number][] = [];
    for (const hosts of hostCounts) {
        const figures = await runWithCluster(9, hosts, cluster => measure(cluster, stayIdle));
        cpu.push([hosts, figures.cpuSeconds]);
        bytes.push([hosts, figures.controlBytes]);
    }
    return [
        fitSlope("entry host processor time", "hosts of the domain", "share of a core", cpu),
        fitSlope("entry host control bytes sent", "hosts of the domain", "bytes a second", bytes),
    ];
};

/** Measures processor time, memory and traffic of real processes on loopback. */
export const measureProcesses = async (): Promise<readonly Slope[]> => [
    ...await measureWorkers(),
    ...await measureRequests(),
    ...await measureStarts(),
    ...await measureHosts(),
];
