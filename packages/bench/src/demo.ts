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

/** Platform, environment document and work of an example in the folder `examples`. */
interface Example {
    readonly failureDomains: readonly string[];
    /** Idempotent service that gets most of the requests. */
    readonly service: string;
    readonly nonIdempotentService: string;
    /** File of the submitted job. */
    readonly job: string;
    readonly workers: number;
}

const examples: Record<string, Example> = {
    "granite-vale": {
        failureDomains: ["worcester-a", "quincy-b", "portland-a"],
        service: "proof-render",
        nonIdempotentService: "proof-email",
        job: "job-toolpaths.json",
        workers: 45,
    },
    sabla: {
        failureDomains: ["muscat-a", "muscat-b", "sohar-a"],
        service: "mockup",
        nonIdempotentService: "order-desk",
        job: "job-plates.json",
        workers: 33,
    },
};

const cellsPerDomain = 6;
const requestCount = 1_500;
const nonIdempotentRequestCount = 150;
const requestIntervalMs = 6;
const killAfterRequests = 500;
const jobTimeoutMs = 35_000;

const runDemo = async (name: string, example: Example): Promise<boolean> => {
    const startedAt = performance.now();
    const cells = example.failureDomains.length * cellsPerDomain;
    const exampleFolder = join(repositoryRoot, "examples", name);
    const cluster = await startProcessCluster({
        platformFile: join(exampleFolder, "platform.toml"),
        environmentFile: join(exampleFolder, "environment.toml"),
        failureDomains: example.failureDomains,
    });
    try {
        await cluster.waitForCells(cells, example.workers);
        process.stdout.write(
            `${name}: ${String(cluster.hosts.length)} entry hosts hold ${String(cells)} cells with `
                + `${String(example.workers)} workers after ${
                    ((performance.now() - startedAt) / 1_000).toFixed(1)
                } s\n`,
        );
        const job = JSON.parse(await readFile(join(exampleFolder, example.job), "utf8")) as { tasks: number; };
        const submitted = await callJson({
            address: cluster.hosts[0]?.address ?? "",
            method: "POST",
            path: "/jobs",
            body: job,
        });
        const { id } = submitted.value as { id: string; };
        const idempotent = createRequestTally();
        const nonIdempotent = createRequestTally();
        const requests: Promise<void>[] = [];
        const killedHost = cluster.hosts[1];
        for (let number = 0; number < requestCount; number += 1) {
            if (number === killAfterRequests) {
                killedHost?.process.kill("SIGKILL");
                process.stdout.write(`killed ${killedHost?.id ?? ""} with requests and tasks in flight\n`);
            }
            requests.push(sendThroughBalancer(cluster, idempotent, { service: example.service, number }));
            if (number % (requestCount / nonIdempotentRequestCount) === 0) {
                requests.push(
                    sendThroughBalancer(cluster, nonIdempotent, {
                        service: example.nonIdempotentService,
                        number,
                        headers: { "idempotency-key": `key-${String(number)}` },
                    }),
                );
            }
            await sleep(requestIntervalMs);
        }
        await Promise.all(requests);
        await waitUntil("the job to settle", jobTimeoutMs, async () => {
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
        for (
            const [label, tally] of [[example.service, idempotent], [
                example.nonIdempotentService,
                nonIdempotent,
            ]] as const
        ) {
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
            ["wrong or mixed-up answers", String(idempotent.mismatched + nonIdempotent.mismatched)],
            ["tasks done", `${String(finished)} of ${String(job.tasks)}`],
            ["done twice", String(doneTwice)],
            ["over-commits", String(overCommits)],
            ["evictions", String(journal.counts["task-ended:checkpointed"] ?? 0)],
            ["store transactions", String(journal.table.transactions)],
            ["seconds in all", ((performance.now() - startedAt) / 1_000).toFixed(1)],
        );
        process.stdout.write(`${table.toString()}\n`);
        return finished === job.tasks && doneTwice === 0 && journal.breaches.length === 0
            && idempotent.mismatched + nonIdempotent.mismatched === 0 && idempotent.completed > requestCount * 0.95;
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
    host meanwhile and checks the run against the stand-in's journal. Exits with 1 on any breach.
`,
    { importMeta: import.meta },
);
const [name = "granite-vale"] = command.input;
const example = examples[name];
if (example === undefined) {
    process.stderr.write(`unknown example "${name}"; choose one of ${Object.keys(examples).join(", ")}\n`);
    process.exit(2);
}
const isClean = await runDemo(name, example);
process.stdout.write(isClean ? "no breach\n" : "BREACH: a promise was broken, see the table\n");
process.exit(isClean ? 0 : 1);
