import { randomBytes } from "node:crypto";

import { findRepeats } from "../lib/find-repeats.js";
import { runCase } from "../lib/run-case.js";
import { readState, submitJob } from "../lib/submit-job.js";
import { wait } from "../lib/wait.js";

/** Jobs, and tasks of each. */
const jobs = 70;
const tasksPerJob = 20;
const request = { cpu: 85, memory: 100 };
/** Milliseconds of work of a task. */
const work = 5_000;
/** Milliseconds between two jobs. */
const interval = 40;
/** Milliseconds for which the store is down: the length of `platform_down` in the site file. */
const outage = 4_500;
/** Milliseconds for all jobs to complete after the outage. */
const settleTime = 30_000;

void runCase({
    folder: "review/1",
    cluster: { hosts: 3, workers: 2, capacity: { cpu: 64_000, memory: 250_000 }, requestOf: () => request },
    play: async ({ cluster, record, hasTrouble }) => {
        // The workers' first reports.
        await wait(4_000);
        const step = { count: tasksPerJob, cpu: request.cpu, memoryRequestMb: request.memory, estimatedMs: work };
        const submissions: Promise<boolean>[] = [];
        const ids: string[] = [];
        for (let job = 0; job < jobs; job += 1) {
            const id = randomBytes(8).toString("hex");
            ids.push(id);
            submissions.push(submitJob(cluster, record, id, { work: [work] }, [step]));
            await wait(interval);
        }
        await Promise.all(submissions);
        while (!cluster.events.some(({ kind }) => kind === "ended")) {
            await wait(20);
        }
        if (hasTrouble) {
            cluster.setStoreMode("busy");
            await wait(outage);
            cluster.setStoreMode("up");
        }
        const settleBy = performance.now() + settleTime;
        let open: readonly string[] = ids;
        while (open.length > 0 && performance.now() < settleBy) {
            await wait(1_000);
            const states = await Promise.all(open.map(id => readState(cluster, record, id)));
            open = open.filter((...[, index]) => states[index] !== "completed");
        }
        record.add(`${String(open.length)} jobs not completed`);
        return findRepeats(cluster.events);
    },
});
