import { readFile } from "node:fs/promises";
import { join } from "node:path";

import { sleep } from "@jayfront/world";
import Table from "cli-table3";

import type { HostProcess } from "./cluster/process-cluster.js";
import { startProcessCluster } from "./cluster/process-cluster.js";
import { createRequestTally, isProcessRunning, sendThroughBalancer } from "./cluster/send-through-balancer.js";
import { callJson } from "./util/call-json.js";
import { countTasksFinishedTwice } from "./util/count-tasks-finished-twice.js";
import { repositoryRoot } from "./util/repository-root.js";
import { waitUntil } from "./util/wait-until.js";

const failureDomains = ["worcester-a", "quincy-b", "portland-a"];
const cells = 18;
const workers = 45;
const requestIntervalMs = 20;
const targetMs = 250;
const healthCheckIntervalMs = 200;
const stepTimeoutMs = 20_000;
const runTimeoutMs = 90_000;

const startedAt = performance.now();
const exampleFolder = join(repositoryRoot, "examples/granite-vale");
const cluster = await startProcessCluster({
    platformFile: join(exampleFolder, "platform.toml"),
    environmentFile: join(exampleFolder, "environment.toml"),
    failureDomains,
});
const runTimer = setTimeout(() => {
    process.stderr.write("replacing all hosts took longer than 90 s; stopped\n");
    void cluster.close().then(() => process.exit(1));
}, runTimeoutMs);

/** Ids of the hosts that passed the balancer's last health check. */
const readyHostIds = new Set<string>();
const updateReadiness = async (host: HostProcess): Promise<void> => {
    const response = await callJson({ address: host.address, method: "GET", path: "/readyz", timeout: 1_000 })
        .catch(() => undefined);
    if (response?.status === 200) {
        readyHostIds.add(host.id);
    }
    else {
        readyHostIds.delete(host.id);
    }
};
let isFinished = false;
const runHealthChecks = async (): Promise<void> => {
    while (!isFinished) {
        await Promise.all(cluster.hosts.filter(isProcessRunning).map(updateReadiness));
        await sleep(healthCheckIntervalMs);
    }
};
const tally = createRequestTally();
const runRequests = async (): Promise<void> => {
    const pendingRequests: Promise<void>[] = [];
    for (let number = 0; !isFinished; number += 1) {
        const isEligible = (host: HostProcess): boolean => readyHostIds.has(host.id) && isProcessRunning(host);
        pendingRequests.push(sendThroughBalancer(cluster, tally, { service: "proof-render", number, isEligible }));
        await sleep(requestIntervalMs);
    }
    await Promise.all(pendingRequests);
};
const replaceHost = async (host: HostProcess): Promise<void> => {
    const replacement = await cluster.startHost(`${host.id}-next`, host.id.slice(0, host.id.lastIndexOf("-")));
    await waitUntil(
        `${replacement.id} to be ready`,
        stepTimeoutMs,
        () => Promise.resolve(readyHostIds.has(replacement.id)),
    );
    host.process.kill("SIGTERM");
    await waitUntil(`${host.id} to exit`, stepTimeoutMs, () => Promise.resolve(!isProcessRunning(host)));
};

await cluster.waitForCells(cells, workers);
const healthChecks = runHealthChecks();
await waitUntil(
    "all hosts to pass their health checks",
    stepTimeoutMs,
    () => Promise.resolve(readyHostIds.size === cluster.hosts.length),
);
const requests = runRequests();
const job = JSON.parse(await readFile(join(exampleFolder, "job-toolpaths.json"), "utf8")) as { tasks: number; };
const submitted = await callJson({
    address: cluster.hosts[0]?.address ?? "",
    method: "POST",
    path: "/jobs",
    body: job,
});
const { id } = submitted.value as { id: string; };
const initialHosts = [...cluster.hosts];
// Replaces one host of each failure domain at a time.
for (let round = 0; round < initialHosts.length / failureDomains.length; round += 1) {
    await Promise.all(
        [...failureDomains.keys()].map(position => {
            const host = initialHosts[position * initialHosts.length / failureDomains.length + round];
            return host === undefined ? Promise.resolve() : replaceHost(host);
        }),
    );
}
const queriedHost = cluster.hosts.find(isProcessRunning);
let finished = 0;
await waitUntil("the job to settle", runTimeoutMs, async () => {
    const status = await callJson({ address: queriedHost?.address ?? "", method: "GET", path: `/jobs/${id}` });
    const view = status.value as { state: string; finished: number; };
    finished = view.finished;
    return view.state === "settled";
});
isFinished = true;
await Promise.all([requests, healthChecks]);
const journal = await cluster.readJournal();
const doneTwice = countTasksFinishedTwice(journal.tasks);
const cutOffRequests = tally.problems.get("connection-lost") ?? 0;
const p99Ms = tally.latencies.getValueAtPercentile(99);
const table = new Table({ head: ["what", "figure"], style: { head: [], border: [] } });
table.push(
    ["hosts replaced", String(initialHosts.filter(host => !isProcessRunning(host)).length)],
    [
        "requests completed / not run / unknown",
        `${String(tally.completed)} / ${String(tally.notRun)} / ${String(tally.unknown)}`,
    ],
    ["requests cut off", String(cutOffRequests)],
    ["problems", [...tally.problems].map(([key, count]) => `${key} ${String(count)}`).join(", ") || "none"],
    ["p99 ms (target 250)", String(p99Ms)],
    ["tasks done", `${String(finished)} of ${String(job.tasks)}`],
    ["done twice", String(doneTwice)],
    ["breaches in the journal", String(journal.breaches.length)],
    ["seconds in all", ((performance.now() - startedAt) / 1_000).toFixed(1)],
);
process.stdout.write(`${table.toString()}\n`);
clearTimeout(runTimer);
await cluster.close();
const isClean = cutOffRequests === 0 && tally.unknown === 0 && tally.mismatched === 0 && finished === job.tasks
    && doneTwice === 0
    && journal.breaches.length === 0 && p99Ms <= targetMs;
process.stdout.write(isClean ? "no breach\n" : "BREACH: see the table\n");
process.exit(isClean ? 0 : 1);
