import type { Fleet, Host } from "../lib-3/fleet.js";
import { call, pause, runCase, taskCpu } from "../lib-3/fleet.js";

const workersPerZone = 7;
/** Milliseconds between two jobs, and of each task. */
const jobInterval = 25;
const work = 1_200;
const tasksPerJob = 2;
const trafficSeconds = 76;
const troubleFrom = 5;
/** Workers that crash at once: 3 of 21, a share of 0.143, and how often. */
const crashingWorkers = 3;
const crashes = 54;
/** Milliseconds for which they are down. */
const downTime = 1_000;
/** Milliseconds from their return until the next ones crash, at least and at most. */
const shortestGap = 100;
const longestGap = 500;
/** Seconds after the end of the traffic (`finish_s`). */
const finishSeconds = 14;
const maxTries = 5;

const hostAt = (hosts: readonly Host[], number: number): Host => {
    const host = hosts[number % hosts.length];
    if (host === undefined) {
        throw new Error("there is no host");
    }
    return host;
};

/** Hands a job in with retries at other hosts; returns whether it was accepted. */
const submit = async ({ hosts, note }: Fleet, path: string, number: number): Promise<boolean> => {
    for (let attempt = 0; attempt < maxTries; attempt += 1) {
        const host = hostAt(hosts, number + attempt);
        const { status } = await call(host, "POST", path, {
            specification: JSON.stringify({ work }),
            steps: [{ count: tasksPerJob, cpu: taskCpu, memoryRequestMb: 100, estimatedMs: work }],
        });
        note(`POST ${path} to ${host.id}: ${String(status)}`);
        if (status === 200) {
            return true;
        }
        await pause(1_000);
    }
    return false;
};

void runCase("tried-3", { hostsPerZone: 2, workersPerZone, tasksPerWorker: 8 }, async (fleet, hasTrouble) => {
    const { hosts, note, platform } = fleet;
    const accepted: string[] = [];
    const pending: Promise<void>[] = [];
    const startedAt = performance.now();
    const hasPassed = (seconds: number): boolean => performance.now() - startedAt >= seconds * 1_000;
    const crashWorkers = async (): Promise<void> => {
        const ids = [...platform.workers.keys()];
        await pause(troubleFrom * 1_000);
        for (let crash = 0; crash < crashes; crash += 1) {
            const crashing = ids.toSorted(() => Math.random() - 0.5).slice(0, crashingWorkers);
            note(`crash of ${crashing.join(", ")}`);
            crashing.forEach(id => {
                fleet.crashWorker(id, downTime);
            });
            await pause(downTime + shortestGap + Math.random() * (longestGap - shortestGap));
        }
    };
    const trouble = hasTrouble ? crashWorkers() : Promise.resolve();
    for (let number = 0; !hasPassed(trafficSeconds); number += 1) {
        const path = `/orders/a${number.toString(16).padStart(15, "0")}`;
        pending.push(
            submit(fleet, path, number).then(isAccepted => {
                if (isAccepted) {
                    accepted.push(path);
                }
            }),
        );
        await pause(jobInterval);
    }
    await Promise.all([...pending, trouble]);
    note(`${String(accepted.length)} jobs were accepted`);
    await pause(finishSeconds * 1_000);

    const failedRuns = platform.journal.events.filter(event => event.kind === "ended" && event.how === "failed").length;
    note(`${String(failedRuns)} runs ended failed on the workers`);
    const states = new Map<string, number>();
    const failed: string[] = [];
    for (const [index, path] of accepted.entries()) {
        const { status, state = String(status) } = await call(hostAt(hosts, index), "GET", path);
        states.set(state, (states.get(state) ?? 0) + 1);
        if (state === "failed") {
            failed.push(path);
        }
    }
    for (const path of failed) {
        note(`GET ${path}: failed`);
        const id = path.split("/").at(-1) ?? "";
        platform.journal.events.filter(({ kind, task }) => kind !== "acknowledged" && task.startsWith(id)).forEach(
            event => {
                const how = event.kind === "started" ? "" : event.how;
                note(`    ${(event.at - startedAt).toFixed(0)} ms ${event.worker} ${event.task} ${event.kind} ${how}`);
            },
        );
    }
    note(`states: ${JSON.stringify(Object.fromEntries(states))}`);
    // No run has ended `failed`, so that no job may be shown so.
    return failedRuns === 0 && failed.length > 0;
});
