import { readFile } from "node:fs/promises";
import { join } from "node:path";

import { sleep } from "@jayfront/world";
import Table from "cli-table3";
import meow from "meow";

import { startProcessCluster } from "./cluster/process-cluster.js";
import { createRequestTally, sendThroughBalancer } from "./cluster/send-through-balancer.js";
import { callJson } from "./util/call-json.js";
import { countTasksFinishedTwice } from "./util/count-tasks-finished-twice.js";
import { repositoryRoot } from "./util/repository-root.js";
import { waitUntil } from "./util/wait-until.js";

interface Scene {
    readonly failureDomains: readonly string[];
    readonly service: string;
    readonly onceService: string;
    readonly job: string;
    readonly workers: number;
}

const scenes: Record<string, Scene> = {
    "granite-vale": {
        failureDomains: ["worcester-a", "quincy-b", "portland-a"],
        service: "proof-render",
        onceService: "proof-email",
        job: "job-toolpaths.json",
        workers: 45,
    },
    sabla: {
        failureDomains: ["muscat-a", "muscat-b", "sohar-a"],
        service: "mockup",
        onceService: "order-desk",
        job: "job-plates.json",
        workers: 33,
    },
};

const cellsPerDomain = 6;
const requestCount = 1_500;
const onceCount = 150;
const requestSpacing = 6;
const killAfterRequests = 500;
const jobTimeout = 35_000;

const run = async (name: string, scene: Scene): Promise<boolean> => {
    const startedAt = performance.now();
    const cells = scene.failureDomains.length * cellsPerDomain;
    const folder = join(repositoryRoot, "examples", name);
    const cluster = await startProcessCluster({
        platformFile: join(folder, "platform.toml"),
        environmentFile: join(folder, "environment.toml"),
        failureDomains: scene.failureDomains,
    });
    try {
        await cluster.waitForCells(cells, scene.workers);
        process.stdout.write(
            `${name}: ${String(cluster.hosts.length)} entry hosts hold ${String(cells)} cells with `
                + `${String(scene.workers)} workers after ${((performance.now() - startedAt) / 1_000).toFixed(1)} s\n`,
        );
        const job = JSON.parse(await readFile(join(folder, scene.job), "utf8")) as { tasks: number; };
        const submitted = await callJson({
            address: cluster.hosts[0]?.address ?? "",
            method: "POST",
            path: "/jobs",
            body: job,
        });
        const { id } = submitted.value as { id: string; };
        const quick = createRequestTally();
        const once = createRequestTally();
        const requests: Promise<void>[] = [];
        const victim = cluster.hosts[1];
        for (let number = 0; number < requestCount; number += 1) {
            if (number === killAfterRequests) {
                victim?.process.kill("SIGKILL");
                process.stdout.write(`killed ${victim?.id ?? ""} with requests and tasks in flight\n`);
            }
            requests.push(sendThroughBalancer(cluster, quick, { service: scene.service, number }));
            if (number % (requestCount / onceCount) === 0) {
                requests.push(
                    sendThroughBalancer(cluster, once, {
                        service: scene.onceService,
                        number,
                        headers: { "idempotency-key": `key-${String(number)}` },
                    }),
                );
            }
            await sleep(requestSpacing);
        }
        await Promise.all(requests);
        await waitUntil("the end of the job", jobTimeout, async () => {
            const status = await callJson({
                address: cluster.hosts[0]?.address ?? "",
                method: "GET",
                path: `/jobs/${id}`,
            });
            return (status.value as { state: string; }).state === "settled";
        });
        const status = await callJson({ address: cluster.hosts[0]?.address ?? "", method: "GET", path: `/jobs/${id}` });
        const journal = await cluster.readJournal();
        const { finished } = status.value as { finished: number; };
        const doneTwice = countTasksFinishedTwice(journal.tasks);
        const overCommits = journal.breaches.filter(breach => breach.detail === "over-commit").length;
        const table = new Table({ head: ["what", "figure"], style: { head: [], border: [] } });
        for (const [label, tally] of [[scene.service, quick], [scene.onceService, once]] as const) {
            table.push(
                [
                    `${label}: completed / not run / unknown`,
                    `${String(tally.completed)} / ${String(tally.notRun)} / ${String(tally.unknown)}`,
                ],
                [
                    `${label}: p50 / p99 ms`,
                    `${String(tally.latencies.getValueAtPercentile(50))} / ${
                        String(tally.latencies.getValueAtPercentile(99))
                    }`,
                ],
            );
            if (tally.problems.size > 0) {
                table.push([
                    `${label}: problems`,
                    [...tally.problems].map(([key, count]) => `${key} ${String(count)}`).join(", "),
                ]);
            }
        }
        table.push(
            ["wrong or mixed-up answers", String(quick.mismatched + once.mismatched)],
            ["tasks done", `${String(finished)} of ${String(job.tasks)}`],
            ["done twice", String(doneTwice)],
            ["over-commits", String(overCommits)],
            ["evictions", String(journal.counts["task-ended:checkpointed"] ?? 0)],
            ["store transactions", String(journal.table.transactions)],
            ["seconds in all", ((performance.now() - startedAt) / 1_000).toFixed(1)],
        );
        process.stdout.write(`${table.toString()}\n`);
        return finished === job.tasks && doneTwice === 0 && journal.breaches.length === 0
            && quick.mismatched + once.mismatched === 0 && quick.completed > requestCount * 0.95;
    }
    finally {
        await cluster.close();
    }
};

const command = meow(
    `
    Usage
      $ npm run demo [-- granite-vale|sabla]

    Starts the stand-in and 9 jayfrontd processes on free loopback ports, sends requests, runs a job, kills an entry
    host on the way and judges the run by the stand-in's log. Exits with 1 on any breach.
`,
    { importMeta: import.meta },
);
const [name = "granite-vale"] = command.input;
const scene = scenes[name];
if (scene === undefined) {
    process.stderr.write(`"${name}" is no example; name one of ${Object.keys(scenes).join(", ")}\n`);
    process.exit(2);
}
const isClean = await run(name, scene);
process.stdout.write(isClean ? "no breach\n" : "BREACH: a promise was broken, see the table\n");
process.exit(isClean ? 0 : 1);
