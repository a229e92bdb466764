import type { Fleet, Host } from "../lib-3/fleet.js";
import { call, pause, runCase, taskCpu } from "../lib-3/fleet.js";

/** Scheduled jobs, one each second since the night, as a client hands them in in the afternoon. */
const scheduledJobs = 9;
const occurrences = 21_600;
const interval = 1_000;
/** Milliseconds between two ordinary jobs. */
const orderInterval = 500;
/** Seconds of ordinary jobs; the scheduled ones come after the first of them. */
const trafficSeconds = 55;
const troubleAt = 6;
/** Seconds after the end of the traffic (`finish_s`). */
const finishSeconds = 14;
/** Seconds for which a job is asked for at the end. */
const questionSeconds = 10;
const maxTries = 5;
/** Processes that end by themselves so many times on so many machines are a fault. */
const faultyExits = 3;
const faultyMachines = 2;

const idOf = (prefix: string, number: number): string => `${prefix}${number.toString(16).padStart(15, "0")}`;
const hostAt = (hosts: readonly Host[], number: number): Host => {
    const host = hosts[number % hosts.length];
    if (host === undefined) {
        throw new Error("there is no host");
    }
    return host;
};

/** Hands a job in with retries at other hosts; returns whether it was accepted. */
const submit = async ({ hosts, note }: Fleet, path: string, number: number, body: object): Promise<boolean> => {
    for (let attempt = 0; attempt < maxTries; attempt += 1) {
        const host = hostAt(hosts, number + attempt);
        const { status } = await call(host, "POST", path, body);
        note(`POST ${path} to ${host.id}: ${String(status)}`);
        if (status === 200) {
            return true;
        }
        await pause(1_000);
    }
    return false;
};

const step = { count: 1, cpu: taskCpu, memoryRequestMb: 100, estimatedMs: 300 };

void runCase("11", { hostsPerZone: 2, workersPerZone: 4, tasksPerWorker: 8 }, async (fleet, hasTrouble) => {
    const { hosts, note } = fleet;
    const accepted: string[] = [];
    const pending: Promise<void>[] = [];
    const startedAt = performance.now();
    const hasPassed = (seconds: number): boolean => performance.now() - startedAt >= seconds * 1_000;
    let isTroubleSent = !hasTrouble;
    for (let number = 0; !hasPassed(trafficSeconds); number += 1) {
        const path = `/orders/${idOf("a", number)}`;
        const body = { specification: '{"work":300}', steps: [step] };
        pending.push(
            submit(fleet, path, number, body).then(isAccepted => {
                if (isAccepted) {
                    accepted.push(path);
                }
            }),
        );
        if (!isTroubleSent && hasPassed(troubleAt)) {
            isTroubleSent = true;
            const schedule = {
                repetitions: occurrences,
                intervalMs: interval,
                firstRunMs: Date.now() - occurrences * interval,
            };
            for (let job = 0; job < scheduledJobs; job += 1) {
                pending.push(
                    submit(fleet, `/sync/${idOf("b", job)}`, job, { ...body, ...schedule }).then(() => undefined),
                );
            }
        }
        await pause(orderInterval);
    }
    await Promise.all(pending);
    note(`${String(accepted.length)} ordinary jobs were accepted`);
    await pause(finishSeconds * 1_000);
    const askedAt = performance.now();
    let open = accepted;
    while (open.length > 0 && performance.now() - askedAt < questionSeconds * 1_000) {
        const answers = await Promise.all(open.map(async (path, index) => ({
            path,
            answer: await call(hostAt(hosts, index), "GET", path),
        })));
        answers.forEach(({ path, answer }) => {
            note(`GET ${path}: ${String(answer.status)} ${answer.state ?? ""}`);
        });
        open = answers.filter(({ answer }) => answer.state !== "completed").map(({ path }) => path);
        await pause(500);
    }
    note(`${String(open.length)} accepted ordinary jobs are not shown as completed`);
    hosts.forEach(host => {
        note(`${host.id} ended by itself ${String(host.ownExits())} times`);
    });
    const faulty = hosts.filter(host => host.ownExits() >= faultyExits).length;
    return faulty >= faultyMachines;
});
