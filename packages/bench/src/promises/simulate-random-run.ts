import type { StandIn } from "@jayfront/platform-stand-in";

import type { LocalCluster } from "../cluster/local-cluster.js";
import { createLocalCluster } from "../cluster/local-cluster.js";
import { smallDocument, smallHiddenBehaviour } from "../cluster/small-environment.js";
import type { FakeTime } from "../util/fake-time.js";
import { installFakeTime } from "../util/fake-time.js";
import { startCallerLoad } from "./caller-load.js";
import { checkJournal } from "./check-journal.js";
import type { Violation } from "./promise.js";

/** A step of a random run; `which`, modulo their number, selects one of the hosts or workers at that time. */
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
    /** Planted fault: workers obey orders with any fence, also an outdated one. */
    readonly ignoresFence?: boolean;
    /** Planted fault: the holder starts tasks once it has adopted its first worker. */
    readonly startsAfterFirstAdoption?: boolean;
}

const failureDomain = "east-a";
const warmUpMs = 4_000;
const recoveryMs = 90_000;
const maxWaitMs = 6_000;
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
    const responses = host === undefined
        ? []
        : jobs.map(job => cluster.send(host, { path: "/jobs", body: JSON.stringify(job) }));
    await time.advance(200);
    await Promise.all(responses);
};

const chooseMachine = (standIn: StandIn, selector: number): ReturnType<StandIn["machines"]["get"]> =>
    [...standIn.machines.values()][selector % standIn.machines.size];

/** Carries out a step, by its kind. */
const applyStep: Record<RandomStep["kind"], (cluster: LocalCluster, selector: number) => void> = {
    "kill-host": (cluster, selector) => {
        const running = cluster.runningHosts();
        if (running.length > 1) {
            running[selector % running.length]?.kill();
        }
    },
    "pause-host": (cluster, selector) => {
        const running = cluster.runningHosts();
        running[selector % running.length]?.setPaused(true);
    },
    "resume-host": (cluster, selector) => {
        const paused = cluster.runningHosts().filter(host => host.isPaused());
        paused[selector % Math.max(1, paused.length)]?.setPaused(false);
    },
    "start-host": cluster => {
        cluster.startHost(`${failureDomain}-${String(cluster.hosts.length + 1)}`, failureDomain);
    },
    "kill-worker": (cluster, selector) => {
        const machine = chooseMachine(cluster.standIn, selector);
        if (machine !== undefined) {
            cluster.standIn.killWorker(machine.worker().id);
        }
    },
    "restart-worker": (cluster, selector) => {
        const machine = chooseMachine(cluster.standIn, selector);
        if (machine !== undefined) {
            cluster.standIn.restartWorker(machine.worker().id);
        }
    },
    "pause-worker": (cluster, selector) => {
        const machine = chooseMachine(cluster.standIn, selector);
        if (machine?.condition() === "up") {
            machine.setPaused(true);
        }
    },
    "resume-worker": (cluster, selector) => {
        const machine = chooseMachine(cluster.standIn, selector);
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

/**
 * Simulates entry hosts and the stand-in's workers in fake time, applies the steps, removes all faults, and checks the
 * run once it has had time to recover.
 */
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
        await time.advance(warmUpMs);
        const load = startCallerLoad({ cluster, idempotentInterval: 1_000, nonIdempotentInterval: 1_500 });
        await submitJobs(cluster, time);
        for (const step of options.steps) {
            const selector = "which" in step ? step.which : 0;
            applyStep[step.kind](cluster, selector);
            await time.advance(step.kind === "wait" ? 500 + selector % maxWaitMs : 300);
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
        let hasEveryResponse = false;
        void load.stop().then(() => {
            hasEveryResponse = true;
        });
        await time.advance(recoveryMs);
        const missingResponses: readonly Violation[] = hasEveryResponse
            ? []
            : [{ promise: "whole-answer", evidence: "a caller never got an answer" }];
        const journalViolations = checkJournal({
            entries: cluster.standIn.journal.entries,
            attempts: load.attempts,
            // The cluster numbers jobs from 2 on, and the second one that submitJobs sends is non-idempotent.
            nonIdempotentJobs: new Set(["job-3"]),
            drainingSince: new Map(),
            drainedHosts: new Set(),
        });
        return [...missingResponses, ...journalViolations];
    }
    finally {
        cluster.stop();
        time.restore();
    }
};
