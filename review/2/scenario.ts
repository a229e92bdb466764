import { randomBytes } from "node:crypto";

import { runCase } from "../lib/run-case.js";
import { readState, submitJob } from "../lib/submit-job.js";
import { wait } from "../lib/wait.js";

/** Large jobs: one step of tasks that save checkpoints for long, and one of a single short task. */
const largeJobs = 40;
const largeWork = [110_000, 9_000];
const tasksPerLargeJob = 40;
/** Small jobs: two steps of a task each, the second after the first. */
const smallJobs = 10;
const smallWork = [9_000, 1_000];
const request = { cpu: 60, memory: 100 };
/** Characters of a checkpoint. */
const checkpointLength = 1_000;
/** Milliseconds between two jobs. */
const interval = 70;
/** Milliseconds for which the store is down: the length of `platform_down` in the site file. */
const outage = 4_500;
/** Milliseconds from the end of the traffic until the jobs are asked for: `finish_s`. */
const finishTime = 14_000;
/** Milliseconds for which a job may have nothing running while a task's turn has come. */
const longestPause = 3_000;

void runCase({
    folder: "review/2",
    cluster: { hosts: 3, workers: 4, capacity: { cpu: 64_000, memory: 250_000 }, requestOf: () => request },
    play: async ({ cluster, record, hasTrouble }) => {
        // The workers' first reports.
        await wait(4_000);
        const step = { count: 1, cpu: request.cpu, memoryRequestMb: request.memory, estimatedMs: 9_000 };
        const largeSteps = [
            { ...step, count: tasksPerLargeJob, estimatedMs: 110_000, checkpointing: true },
            step,
        ];
        const smallSteps = [step, { ...step, estimatedMs: 1_000, after: [0] }];
        const submissions: Promise<boolean>[] = [];
        const smallIds: string[] = [];
        for (let job = 0; job < largeJobs; job += 1) {
            const id = randomBytes(8).toString("hex");
            submissions.push(submitJob(cluster, record, id, { work: largeWork, checkpointLength }, largeSteps));
            await wait(interval);
        }
        for (let job = 0; job < smallJobs; job += 1) {
            const id = randomBytes(8).toString("hex");
            smallIds.push(id);
            submissions.push(submitJob(cluster, record, id, { work: smallWork }, smallSteps));
            await wait(interval);
        }
        const accepted = await Promise.all(submissions);
        if (accepted.includes(false)) {
            throw new Error("a job was not accepted");
        }
        while (!cluster.events.some(({ kind }) => kind === "ended")) {
            await wait(20);
        }
        if (hasTrouble) {
            cluster.setStoreMode("busy");
            await wait(outage);
            cluster.setStoreMode("up");
        }
        await wait(finishTime + longestPause);
        const breaches: string[] = [];
        for (const id of smallIds) {
            const state = await readState(cluster, record, id);
            const ofJob = cluster.events.filter(({ task }) => task.startsWith(id));
            const isFirstDone = ofJob.some(({ task, how }) => task === `${id}.0.0.0` && how === "done");
            const isRunning = [...cluster.workers.values()].some(worker =>
                worker.runningTasks().some(task => task.startsWith(id))
            );
            const idleFor = Math.round(performance.now() - (ofJob.at(-1)?.at ?? 0));
            if (state !== "completed" && isFirstDone && !isRunning && idleFor > longestPause) {
                breaches.push(
                    `LOST: ${id} is ${String(state)}, its first task has ended done, the turn of its second one has `
                        + `come, and nothing of it has run for ${String(idleFor)} ms`,
                );
            }
        }
        const running = [...cluster.workers.values()].map(worker => worker.runningTasks().length);
        record.add(`tasks that run on the workers: ${running.join(", ")}`);
        return breaches;
    },
});
