import type { Fleet, Host } from "../lib-3/fleet.js";
import { call, pause, runCase, taskCpu } from "../lib-3/fleet.js";

const tasksPerWorker = 8;
const workersPerZone = 4;
const zoneCount = 3;
/** One job of a chain of steps, which is due each second, handed in when its first hours are over. */
const occurrences = 21_600;
const interval = 1_000;
const chainLength = 200;
/** Milliseconds between two ordinary jobs. */
const orderInterval = 500;
/** Seconds of ordinary jobs; the scheduled one comes after the first of them. */
const trafficSeconds = 60;
const troubleAt = 5;
/** Seconds after the end of the traffic (`finish_s`). */
const finishSeconds = 14;
/** Milliseconds for which a job that could run has nothing running, and between two looks. */
const idleTime = 3_000;
const lookInterval = 100;
const maxTries = 5;
const scheduledPath = "/sync/b000000000000000";

const idOf = (path: string): string => path.split("/").at(-1) ?? "";
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

const step = { count: 1, cpu: taskCpu, memoryRequestMb: 100, estimatedMs: 200 };

const chain = Array.from(
    { length: chainLength },
    (...[, number]) => ({ ...step, ...(number === 0 ? {} : { after: [number - 1] }) }),
);

void runCase("13", { hostsPerZone: 2, workersPerZone, tasksPerWorker }, async (fleet, hasTrouble) => {
    const { hosts, note, platform } = fleet;
    const accepted: string[] = [];
    const pending: Promise<void>[] = [];
    const startedAt = performance.now();
    const hasPassed = (seconds: number): boolean => performance.now() - startedAt >= seconds * 1_000;
    const body = { specification: '{"work":200}', steps: [step] };
    const handIn = async (path: string, number: number, job: object): Promise<void> => {
        if (await submit(fleet, path, number, job)) {
            accepted.push(path);
        }
    };
    /** Tasks of a job that have ended `done` on a worker, and whether any is running. */
    const progressOf = (path: string): { readonly done: number; readonly isRunning: boolean; } => {
        const prefix = `${idOf(path)}.`;
        const ends = platform.journal.events.filter(event =>
            event.kind === "ended" && event.how === "done" && event.task.startsWith(prefix)
        );
        const running = [...platform.workers.values()].flatMap(worker => worker.running());
        return {
            done: new Set(ends.map(({ task }) => task)).size,
            isRunning: running.some(task => task.startsWith(prefix)),
        };
    };
    const tasksOf = (path: string): number => path === scheduledPath ? occurrences * chainLength : 1;

    let isTroubleSent = !hasTrouble;
    for (let number = 0; !hasPassed(trafficSeconds); number += 1) {
        pending.push(handIn(`/orders/a${number.toString(16).padStart(15, "0")}`, number, body));
        if (!isTroubleSent && hasPassed(troubleAt)) {
            isTroubleSent = true;
            pending.push(handIn(scheduledPath, number, {
                ...body,
                steps: chain,
                repetitions: occurrences,
                intervalMs: interval,
                firstRunMs: Date.now() - occurrences * interval,
            }));
        }
        await pause(orderInterval);
    }
    await Promise.all(pending);
    note(`${String(accepted.length)} jobs were accepted`);
    await pause(finishSeconds * 1_000);

    // Capacity for a task twice over, and under half of it in use: looked at for three seconds on end.
    const allSlots = tasksPerWorker * workersPerZone * zoneCount;
    let idle = new Set(accepted);
    const lookedFrom = performance.now();
    while (performance.now() - lookedFrom < idleTime) {
        const used = [...platform.workers.values()].reduce((sum, worker) => sum + worker.running().length, 0);
        idle = new Set([...idle].filter(path => {
            const { done, isRunning } = progressOf(path);
            return used < allSlots / 2 && !isRunning && done < tasksOf(path);
        }));
        await pause(lookInterval);
    }
    const answers = await Promise.all(accepted.map(async (path, index) => ({
        path,
        answer: await call(hostAt(hosts, index), "GET", path),
    })));
    const open = answers.filter(({ answer }) => answer.state !== "completed");
    open.forEach(({ path, answer }) => {
        const { done } = progressOf(path);
        note(
            `GET ${path}: ${String(answer.status)} ${answer.state ?? ""}, ${String(done)} of ${
                String(tasksOf(path))
            } tasks done, ${idle.has(path) ? "nothing running for 3 s" : "not idle"}`,
        );
    });
    note(`${String(open.length)} accepted jobs are not shown as completed, ${String(idle.size)} of them wait unserved`);
    return idle.size > 0;
});
