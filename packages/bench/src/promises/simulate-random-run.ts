import type { StandIn } from "@jayfront/platform-stand-in";

import type { LocalCluster } from "../cluster/local-cluster.js";
import { createLocalCluster } from "../cluster/local-cluster.js";
import { smallDocument, smallHiddenBehaviour } from "../cluster/small-environment.js";
import type { FakeTime } from "../util/fake-time.js";
import { installFakeTime } from "../util/fake-time.js";
import { startCallerLoad } from "./caller-load.js";
import { checkJournal } from "./check-journal.js";
import type { Violation } from "./promise.js";

/** One step of a random run; numbers choose among the hosts or workers that are there. */
export type RandomStep =
    | { readonly kind: "kill-host" | "pause-host" | "resume-host"; readonly which: number; }
    | { readonly kind: "start-host"; }
    | { readonly kind: "kill-worker" | "restart-worker" | "pause-worker" | "resume-worker"; readonly which: number; }
    | { readonly kind: "lose-replies" | "delay-tasks" | "drop-tasks" | "store-outage" | "store-loses-replies"; }
    | { readonly kind: "heal"; }
    | { readonly kind: "wait"; readonly which: number; };

/** Options of {@link simulateRandomRun}. */
export interface RandomRunOptions {
    readonly seed: number;
    readonly steps: readonly RandomStep[];
    readonly ignoresFence?: boolean;
    readonly startsAfterFirstAdoption?: boolean;
}

const failureDomain = "east-a";
const settleTime = 4_000;
const quietTime = 90_000;
const longestWait = 6_000;
const taskCount = 150;

const submitJobs = async (cluster: LocalCluster, time: FakeTime): Promise<void> => {
    const [host] = cluster.runningHosts();
    const jobs = [true, false].map(idempotent => ({
        team: "bulk",
        batchClass: "path",
        tasks: taskCount,
        resources: { cores: 2, memory: 2 },
        runTime: 5,
        idempotent,
        payload: JSON.stringify({ work: 5 }),
    }));
    const sent = host === undefined
        ? []
        : jobs.map(job => cluster.send(host, { path: "/jobs", body: JSON.stringify(job) }));
    await time.advance(200);
    await Promise.all(sent);
};

const toWorker = (standIn: StandIn, which: number): ReturnType<StandIn["machines"]["get"]> =>
    [...standIn.machines.values()][which % standIn.machines.size];

/** What each kind of step does. */
const actions: Record<RandomStep["kind"], (cluster: LocalCluster, which: number) => void> = {
    "kill-host": (cluster, which) => {
        const running = cluster.runningHosts();
        if (running.length > 1) {
            running[which % running.length]?.kill();
        }
    },
    "pause-host": (cluster, which) => {
        const running = cluster.runningHosts();
        running[which % running.length]?.setPaused(true);
    },
    "resume-host": (cluster, which) => {
        const paused = cluster.runningHosts().filter(host => host.isPaused());
        paused[which % Math.max(1, paused.length)]?.setPaused(false);
    },
    "start-host": cluster => {
        cluster.startHost(`${failureDomain}-${String(cluster.hosts.length + 1)}`, failureDomain);
    },
    "kill-worker": (cluster, which) => {
        const machine = toWorker(cluster.standIn, which);
        if (machine !== undefined) {
            cluster.standIn.killWorker(machine.worker().id);
        }
    },
    "restart-worker": (cluster, which) => {
        const machine = toWorker(cluster.standIn, which);
        if (machine !== undefined) {
            cluster.standIn.restartWorker(machine.worker().id);
        }
    },
    "pause-worker": (cluster, which) => {
        const machine = toWorker(cluster.standIn, which);
        if (machine?.condition() === "up") {
            machine.setPaused(true);
        }
    },
    "resume-worker": (cluster, which) => {
        const machine = toWorker(cluster.standIn, which);
        if (machine?.condition() === "paused") {
            machine.setPaused(false);
        }
    },
    "lose-replies": cluster => {
        cluster.standIn.faults.add({ door: "tasks", action: "lose-reply", probability: 0.5 });
    },
    "delay-tasks": cluster => {
        cluster.standIn.faults.add({ door: "tasks", action: "delay", delay: 2_500, probability: 0.3 });
    },
    "drop-tasks": cluster => {
        cluster.standIn.faults.add({ door: "tasks", action: "drop", probability: 0.5 });
    },
    "store-outage": cluster => {
        cluster.standIn.faults.add({ door: "table", action: "outage" });
    },
    "store-loses-replies": cluster => {
        cluster.standIn.faults.add({ door: "table", action: "lose-reply", probability: 0.5 });
    },
    heal: cluster => {
        cluster.standIn.faults.clear();
    },
    wait: () => undefined,
};

/** Plays the steps against real hosts and the stand-in's workers in fake time, then heals all and judges the run. */
export const simulateRandomRun = async (options: RandomRunOptions): Promise<readonly Violation[]> => {
    const time = installFakeTime();
    const cluster = createLocalCluster({
        seed: options.seed,
        hosts: { [failureDomain]: 3 },
        workers: { [failureDomain]: 6 },
        document: smallDocument,
        hidden: smallHiddenBehaviour,
        ignoresFence: options.ignoresFence ?? false,
        startsAfterFirstAdoption: options.startsAfterFirstAdoption ?? false,
    });
    try {
        await time.advance(settleTime);
        const load = startCallerLoad({ cluster, idempotentInterval: 1_000, nonIdempotentInterval: 1_500 });
        await submitJobs(cluster, time);
        for (const step of options.steps) {
            const which = "which" in step ? step.which : 0;
            actions[step.kind](cluster, which);
            await time.advance(step.kind === "wait" ? 500 + which % longestWait : 300);
        }
        cluster.standIn.faults.clear();
        cluster.runningHosts().forEach(host => {
            host.setPaused(false);
        });
        for (const machine of cluster.standIn.machines.values()) {
            if (machine.condition() !== "up") {
                cluster.standIn.restartWorker(machine.worker().id);
            }
        }
        let isAnswered = false;
        void load.stop().then(() => {
            isAnswered = true;
        });
        await time.advance(quietTime);
        const unanswered: readonly Violation[] = isAnswered
            ? []
            : [{ promise: "whole-answer", evidence: "a caller never got an answer" }];
        const seen = checkJournal({
            entries: cluster.standIn.journal.entries,
            attempts: load.attempts,
            nonIdempotentJobs: new Set(["job-3"]),
            drainingSince: new Map(),
            drainedHosts: new Set(),
        });
        return [...unanswered, ...seen];
    }
    finally {
        cluster.stop();
        time.restore();
    }
};
