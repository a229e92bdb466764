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
const requestSpacing = 20;
const targetMs = 250;
const healthCheckInterval = 200;
const stopTimeout = 20_000;
const longestRun = 90_000;

const startedAt = performance.now();
const folder = join(repositoryRoot, "examples/granite-vale");
const cluster = await startProcessCluster({
    platformFile: join(folder, "platform.toml"),
    environmentFile: join(folder, "environment.toml"),
    failureDomains,
});
const giveUp = setTimeout(() => {
    process.stderr.write("the replacement took longer than 90 s\n");
    void cluster.close().then(() => process.exit(1));
}, longestRun);

/** Hosts that the balancer's health check last found ready. */
const ready = new Set<string>();
const checkHealth = async (host: HostProcess): Promise<void> => {
    const answer = await callJson({ address: host.address, method: "GET", path: "/readyz", timeout: 1_000 })
        .catch(() => undefined);
    if (answer?.status === 200) {
        ready.add(host.id);
    }
    else {
        ready.delete(host.id);
    }
};
let isOver = false;
const runHealthChecks = async (): Promise<void> => {
    while (!isOver) {
        await Promise.all(cluster.hosts.filter(isProcessRunning).map(checkHealth));
        await sleep(healthCheckInterval);
    }
};
const tally = createRequestTally();
const runRequests = async (): Promise<void> => {
    const sent: Promise<void>[] = [];
    for (let number = 0; !isOver; number += 1) {
        const isOpen = (host: HostProcess): boolean => ready.has(host.id) && isProcessRunning(host);
        sent.push(sendThroughBalancer(cluster, tally, { service: "proof-render", number, isEligible: isOpen }));
        await sleep(requestSpacing);
    }
    await Promise.all(sent);
};
const replaceHost = async (host: HostProcess): Promise<void> => {
    const next = await cluster.startHost(`${host.id}-next`, host.id.slice(0, host.id.lastIndexOf("-")));
    await waitUntil(`${next.id} to be ready`, stopTimeout, () => Promise.resolve(ready.has(next.id)));
    host.process.kill("SIGTERM");
    await waitUntil(`${host.id} to end`, stopTimeout, () => Promise.resolve(!isProcessRunning(host)));
};

await cluster.waitForCells(cells, workers);
const health = runHealthChecks();
await waitUntil("the health checks", stopTimeout, () => Promise.resolve(ready.size === cluster.hosts.length));
const requests = runRequests();
const job = JSON.parse(await readFile(join(folder, "job-toolpaths.json"), "utf8")) as { tasks: number; };
const submitted = await callJson({
    address: cluster.hosts[0]?.address ?? "",
    method: "POST",
    path: "/jobs",
    body: job,
});
const { id } = submitted.value as { id: string; };
const first = [...cluster.hosts];
// One host of each failure domain at a time.
for (let round = 0; round < first.length / failureDomains.length; round += 1) {
    await Promise.all(
        [...failureDomains.keys()].map(position => {
            const host = first[position * first.length / failureDomains.length + round];
            return host === undefined ? Promise.resolve() : replaceHost(host);
        }),
    );
}
const last = cluster.hosts.find(isProcessRunning);
let finished = 0;
await waitUntil("the end of the job", longestRun, async () => {
    const status = await callJson({ address: last?.address ?? "", method: "GET", path: `/jobs/${id}` });
    const view = status.value as { state: string; finished: number; };
    finished = view.finished;
    return view.state === "settled";
});
isOver = true;
await Promise.all([requests, health]);
const journal = await cluster.readJournal();
const doneTwice = countTasksFinishedTwice(journal.tasks);
const cut = tally.problems.get("connection-lost") ?? 0;
const tail = tally.latencies.getValueAtPercentile(99);
const table = new Table({ head: ["what", "figure"], style: { head: [], border: [] } });
table.push(
    ["hosts replaced", String(first.filter(host => !isProcessRunning(host)).length)],
    [
        "requests completed / not run / unknown",
        `${String(tally.completed)} / ${String(tally.notRun)} / ${String(tally.unknown)}`,
    ],
    ["requests cut off", String(cut)],
    ["problems", [...tally.problems].map(([key, count]) => `${key} ${String(count)}`).join(", ") || "none"],
    ["p99 ms (target 250)", String(tail)],
    ["tasks done", `${String(finished)} of ${String(job.tasks)}`],
    ["done twice", String(doneTwice)],
    ["breaches in the journal", String(journal.breaches.length)],
    ["seconds in all", ((performance.now() - startedAt) / 1_000).toFixed(1)],
);
process.stdout.write(`${table.toString()}\n`);
clearTimeout(giveUp);
await cluster.close();
const isClean = cut === 0 && tally.unknown === 0 && tally.mismatched === 0 && finished === job.tasks && doneTwice === 0
    && journal.breaches.length === 0 && tail <= targetMs;
process.stdout.write(isClean ? "no breach\n" : "BREACH: see the table\n");
process.exit(isClean ? 0 : 1);
