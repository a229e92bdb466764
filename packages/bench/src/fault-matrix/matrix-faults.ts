import type { InjectionPoint } from "@jayfront/platform-stand-in";
import { sleep } from "@jayfront/world";

import { localToken } from "../cluster/local-cluster.js";
import type { MatrixFaultContext } from "./matrix-cluster.js";
import { faultedDomain, matrixDocument } from "./matrix-cluster.js";

/** A fault of the matrix: strikes, and heals itself after its time. */
export type MatrixFault = (run: MatrixFaultContext) => void | Promise<void>;

const shortTime = 10_000;
const longTime = 30_000;
/** Longer than a worker lease and a task lease. */
const pastLeases = 25_000;

/** Switches faults of the platform on for a time. */
const strikePlatform = async (
    { cluster }: MatrixFaultContext,
    doors: readonly InjectionPoint[],
    fault: Omit<Parameters<MatrixFaultContext["cluster"]["standIn"]["faults"]["add"]>[0], "door">,
    time: number,
): Promise<void> => {
    const heal = doors.map(door => cluster.standIn.faults.add({ ...fault, door }));
    await sleep(time);
    heal.forEach(end => {
        end();
    });
};
const setSlowness = ({ cluster }: MatrixFaultContext, slowness: number): void => {
    for (const machine of cluster.standIn.machines.values()) {
        machine.slowness = slowness;
    }
};
/** A worker that runs a task now, or any. */
const busyWorker = ({ cluster }: MatrixFaultContext): string | undefined => {
    const { entries } = cluster.standIn.journal;
    const last = entries.findLast(entry => entry.kind === "task-started" || entry.kind === "request-admitted");
    return last?.worker ?? [...cluster.standIn.machines.keys()][0];
};
const machineOf = (
    { cluster }: MatrixFaultContext,
    worker: string | undefined,
): ReturnType<typeof cluster.standIn.machines.get> =>
    [...cluster.standIn.machines.values()].find(machine => machine.worker().id === worker);

const platformDoors: readonly InjectionPoint[] = ["table", "objects", "live-list"];

/** All faults by name. */
export const matrixFaults: Readonly<Record<string, MatrixFault>> = {
    "load shift": async run => {
        setSlowness(run, 2);
        await sleep(shortTime);
        setSlowness(run, 1);
    },
    "noisy wave": async run => {
        setSlowness(run, 1.4);
        await run.submit({
            team: "bulk",
            batchClass: "sync",
            tasks: 30,
            resources: { cores: 1, memory: 1 },
            runTime: 3,
            payload: JSON.stringify({ work: 3 }),
        });
        await sleep(shortTime);
        setSlowness(run, 1);
    },
    "host killed": run => {
        const host = run.targetHost();
        if (host !== undefined) {
            run.faultedHosts.add(host.id);
            host.kill();
        }
    },
    "host paused": async run => {
        const host = run.targetHost();
        if (host !== undefined) {
            run.faultedHosts.add(host.id);
            host.setPaused(true);
            await sleep(pastLeases);
            host.setPaused(false);
        }
    },
    "worker killed": async run => {
        const machine = machineOf(run, busyWorker(run));
        if (machine !== undefined) {
            run.cluster.standIn.killWorker(machine.worker().id);
            await sleep(longTime);
            run.cluster.standIn.restartWorker(machine.worker().id);
        }
    },
    "worker fails all": async run => {
        const machine = machineOf(run, busyWorker(run));
        if (machine !== undefined) {
            machine.failsEverything = true;
            await sleep(longTime);
            machine.failsEverything = false;
        }
    },
    "store down": run => strikePlatform(run, ["table", "objects"], { action: "outage" }, longTime),
    "store slow": run => strikePlatform(run, ["table", "objects"], { action: "delay", delay: 900 }, longTime),
    "reply lost": run =>
        strikePlatform(run, ["table"], { action: "lose-reply", path: "/table/commit", times: 3 }, shortTime),
    "domain cut from platform": run =>
        strikePlatform(run, platformDoors, { action: "drop", from: faultedDomain }, longTime),
    "domains cut apart": async run => {
        run.cluster.network.cut(faultedDomain, "west-a");
        await sleep(longTime);
        run.cluster.network.heal();
    },
    "leases lapse": run => strikePlatform(run, ["tasks"], { action: "drop", path: "/tasks/renew" }, pastLeases),
    "cancellation wave": async run => {
        const [host] = run.cluster.runningHosts();
        for (const job of [...run.jobIds]) {
            run.cancelledJobIds.add(job);
            if (host !== undefined) {
                void run.cluster.send(host, { path: `/jobs/${job}/cancel` });
            }
        }
        await sleep(shortTime);
    },
    "racing operators": async run => {
        const hosts = run.cluster.runningHosts().filter(host => !host.isPaused());
        const base = Math.max(...hosts.map(host => host.entryHost()?.status().environmentVersion ?? 0));
        const answers = await Promise.all(
            hosts.map((host, number) => run.cluster.promote(host, matrixDocument(6_000 + number), base)),
        );
        const won = answers.filter(answer => answer.status === 200).length;
        if (won > 1) {
            run.reportViolation(
                `${String(won)} of ${String(answers.length)} promotions on version ${String(base)} were accepted`,
            );
        }
        if (won === 1) {
            run.acceptedVersions.push(base + 1);
        }
    },
    "live list stale": async run => {
        const { liveList } = run.cluster.standIn;
        const before = liveList.lag;
        liveList.lag = longTime;
        await strikePlatform(run, ["live-list"], { action: "drop" }, longTime);
        liveList.lag = before;
    },
    "endpoint leaving": run => {
        const machine = machineOf(run, busyWorker(run));
        if (machine !== undefined) {
            run.drainingSince.set(machine.worker().id, performance.now());
            run.cluster.standIn.drainWorker(machine.worker().id);
        }
    },
};

/** Pairs of faults that strike together while tasks run. */
export const faultPairs: readonly (readonly [string, string])[] = [
    ["host killed", "store down"],
    ["host killed", "worker killed"],
    ["host killed", "reply lost"],
    ["host killed", "domain cut from platform"],
    ["host paused", "store down"],
    ["host paused", "worker killed"],
    ["host paused", "leases lapse"],
    ["worker killed", "store down"],
    ["worker killed", "live list stale"],
    ["store slow", "cancellation wave"],
    ["domains cut apart", "domain cut from platform"],
    ["racing operators", "reply lost"],
    ["endpoint leaving", "live list stale"],
    ["load shift", "worker fails all"],
];

/** Header of operators' calls. */
export const operatorHeaders = { authorization: `Bearer ${localToken}` };
