import type { InjectionPoint } from "@jayfront/platform-stand-in";
import { sleep } from "@jayfront/world";

import { localToken } from "../cluster/local-cluster.js";
import type { MatrixFaultContext } from "./matrix-cluster.js";
import { faultedDomain, matrixDocument } from "./matrix-cluster.js";

/** Injects a fault and, unless it is permanent, removes it after its duration. */
export type MatrixFault = (context: MatrixFaultContext) => void | Promise<void>;

const shortFaultMs = 10_000;
const longFaultMs = 30_000;
/** Longer than a worker lease and than a task lease. */
const leaseLapseMs = 25_000;

/** Injects the fault at each of the `injectionPoints` of the platform and removes it after `duration` milliseconds. */
const injectPlatformFault = async (
    { cluster }: MatrixFaultContext,
    injectionPoints: readonly InjectionPoint[],
    faultOptions: Omit<Parameters<MatrixFaultContext["cluster"]["standIn"]["faults"]["add"]>[0], "door">,
    duration: number,
): Promise<void> => {
    const removals = injectionPoints.map(door => cluster.standIn.faults.add({ ...faultOptions, door }));
    await sleep(duration);
    removals.forEach(remove => {
        remove();
    });
};
const setSlowness = ({ cluster }: MatrixFaultContext, slowness: number): void => {
    for (const machine of cluster.standIn.machines.values()) {
        machine.slowness = slowness;
    }
};
/** The worker that last started a task or admitted a request; any worker if there was none. */
const findBusyWorker = ({ cluster }: MatrixFaultContext): string | undefined => {
    const { entries } = cluster.standIn.journal;
    const lastEntry = entries.findLast(entry => entry.kind === "task-started" || entry.kind === "request-admitted");
    return lastEntry?.worker ?? [...cluster.standIn.machines.keys()][0];
};
const findMachine = (
    { cluster }: MatrixFaultContext,
    worker: string | undefined,
): ReturnType<typeof cluster.standIn.machines.get> =>
    [...cluster.standIn.machines.values()].find(machine => machine.worker().id === worker);

const platformInjectionPoints: readonly InjectionPoint[] = ["table", "objects", "live-list"];

/** All faults by name. The names are printed, and given on the command line. */
export const matrixFaults: Readonly<Record<string, MatrixFault>> = {
    "load shift": async context => {
        setSlowness(context, 2);
        await sleep(shortFaultMs);
        setSlowness(context, 1);
    },
    "noisy wave": async context => {
        setSlowness(context, 1.4);
        await context.submit({
            team: "bulk",
            batchClass: "sync",
            tasks: 30,
            resources: { cores: 1, memory: 1 },
            runTime: 3,
            payload: JSON.stringify({ work: 3 }),
        });
        await sleep(shortFaultMs);
        setSlowness(context, 1);
    },
    "host killed": context => {
        const host = context.targetHost();
        if (host !== undefined) {
            context.faultedHosts.add(host.id);
            host.kill();
        }
    },
    "host paused": async context => {
        const host = context.targetHost();
        if (host !== undefined) {
            context.faultedHosts.add(host.id);
            host.setPaused(true);
            await sleep(leaseLapseMs);
            host.setPaused(false);
        }
    },
    "worker killed": async context => {
        const machine = findMachine(context, findBusyWorker(context));
        if (machine !== undefined) {
            context.cluster.standIn.killWorker(machine.worker().id);
            await sleep(longFaultMs);
            context.cluster.standIn.restartWorker(machine.worker().id);
        }
    },
    "worker fails all": async context => {
        const machine = findMachine(context, findBusyWorker(context));
        if (machine !== undefined) {
            machine.failsEverything = true;
            await sleep(longFaultMs);
            machine.failsEverything = false;
        }
    },
    "store down": context => injectPlatformFault(context, ["table", "objects"], { action: "outage" }, longFaultMs),
    "store slow": context =>
        injectPlatformFault(context, ["table", "objects"], { action: "delay", delay: 900 }, longFaultMs),
    "reply lost": context =>
        injectPlatformFault(
            context,
            ["table"],
            { action: "lose-reply", path: "/table/commit", times: 3 },
            shortFaultMs,
        ),
    "domain cut from platform": context =>
        injectPlatformFault(context, platformInjectionPoints, { action: "drop", from: faultedDomain }, longFaultMs),
    "domains cut apart": async context => {
        context.cluster.network.cut(faultedDomain, "west-a");
        await sleep(longFaultMs);
        context.cluster.network.heal();
    },
    "leases lapse": context =>
        injectPlatformFault(context, ["tasks"], { action: "drop", path: "/tasks/renew" }, leaseLapseMs),
    "cancellation wave": async context => {
        const [host] = context.cluster.runningHosts();
        for (const job of [...context.jobIds]) {
            context.cancelledJobIds.add(job);
            if (host !== undefined) {
                void context.cluster.send(host, { path: `/jobs/${job}/cancel` });
            }
        }
        await sleep(shortFaultMs);
    },
    "racing operators": async context => {
        const hosts = context.cluster.runningHosts().filter(host => !host.isPaused());
        const baseVersion = Math.max(...hosts.map(host => host.entryHost()?.status().environmentVersion ?? 0));
        const responses = await Promise.all(
            hosts.map((host, index) => context.cluster.promote(host, matrixDocument(6_000 + index), baseVersion)),
        );
        const acceptedCount = responses.filter(response => response.status === 200).length;
        if (acceptedCount > 1) {
            context.reportViolation(
                `${String(acceptedCount)} of ${String(responses.length)} promotions on version ${
                    String(baseVersion)
                } were accepted`,
            );
        }
        if (acceptedCount === 1) {
            context.acceptedVersions.push(baseVersion + 1);
        }
    },
    "live list stale": async context => {
        const { liveList } = context.cluster.standIn;
        const previousLag = liveList.lag;
        liveList.lag = longFaultMs;
        await injectPlatformFault(context, ["live-list"], { action: "drop" }, longFaultMs);
        liveList.lag = previousLag;
    },
    "endpoint leaving": context => {
        const machine = findMachine(context, findBusyWorker(context));
        if (machine !== undefined) {
            context.drainingSince.set(machine.worker().id, performance.now());
            context.cluster.standIn.drainWorker(machine.worker().id);
        }
    },
};

/** Pairs of faults that are injected together while tasks run. */
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

/** HTTP headers of operators' calls. */
export const operatorHeaders = { authorization: `Bearer ${localToken}` };
