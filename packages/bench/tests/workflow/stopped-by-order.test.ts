import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const job = "00000000000000a1";
const tasks = 3;
const cpu = 4_000;
/** Milliseconds between two urgent workflows, and of work of their tasks, which fill the workers that don't drain. */
const urgentInterval = 250;
const urgentWork = 100;
const urgentTasks = 12;
/** Milliseconds from the drain until the holder is killed; the starts of the stopped tasks are lost in the meantime. */
const lostStarts = 4_000;
/** Milliseconds after a worker's last heartbeat at which its entry is removed. */
const entryTimeout = 3_300;
/** Bound on the milliseconds from a stop until all tasks run again: 6 s after the last run and 3 s more break a promise. */
const longestAbsence = 9_000;
const idOf = (number: number): string => (1_000 + number).toString(16).padStart(16, "0");

describe("long-running tasks that were all stopped, since their workers drain, before their holder is lost", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    let urgentWorkflows: number;
    beforeEach(async () => {
        time = installFakeTime();
        urgentWorkflows = 0;
        cluster = createWorkflowCluster({
            hosts: { "east-a": 3 },
            workers: { "east-a": 6 },
            longestLease: 10_000,
            cpuOf: () => cpu,
            drainTime: 15_000,
        });
        await time.advance(3_000);
        void cluster.submit(cluster.holder() ?? "", job, [{ count: tasks, cpu, isLasting: true }], { isLasting: true });
        await passUrgently(3_000);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    /** Lets time pass in which urgent workflows arrive. */
    const passUrgently = async (duration: number): Promise<void> => {
        for (let passed = 0; passed < duration; passed += urgentInterval) {
            const [host = ""] = cluster.hosts.keys();
            urgentWorkflows += 1;
            void cluster.submit(host, idOf(urgentWorkflows), [{ count: urgentTasks, cpu }], { work: urgentWork });
            await time.advance(Math.min(urgentInterval, duration - passed));
        }
    };
    const runningOf = (worker: string): readonly string[] =>
        cluster.platform.workers.get(worker)?.running().filter(task => task.startsWith(job)) ?? [];
    const running = (): number =>
        [...cluster.platform.workers.keys()].reduce((sum, worker) => sum + runningOf(worker).length, 0);

    /** Lets the workers of all tasks drain and loses the next starts of the tasks, then kills the holder. */
    const drainAndKillHolder = async (): Promise<void> => {
        const heal = cluster.platform.network.addFault({
            matches: (...[, call]) => call.path === "/api/run-start" && JSON.stringify(call.body).includes(job),
            action: "cut",
        });
        [...cluster.platform.workers.keys()].filter(worker => runningOf(worker).length > 0).forEach(worker => {
            cluster.platform.setWorkerState(worker, "draining");
        });
        await passUrgently(lostStarts);
        expect(running()).toBe(0);
        heal();
        cluster.kill(cluster.holder() ?? "");
        await passUrgently(longestAbsence - lostStarts);
    };

    // Guards against tasks that wait as if they had never run, behind the room that is kept for urgent work: no worker
    // runs a task of their step any more, and the ends that the former holder had acknowledged were not stored.
    it("run again within 9 s", async () => {
        await drainAndKillHolder();
        expect(running()).toBe(tasks);
        expect(findBreach(cluster.platform.journal.events)).toBeUndefined();
    });

    // Guards against tasks that wait for the leases of a silent worker under the next holder (issue 47), although the former
    // holder knew of no run of them there.
    it("run again within 9 s beside another worker that was lost as they were stopped", async () => {
        const lost = [...cluster.platform.workers.keys()].find(worker => runningOf(worker).length === 0) ?? "";
        cluster.platform.workers.get(lost)?.kill();
        setTimeout(() => {
            cluster.platform.setWorkerState(lost, undefined);
        }, entryTimeout);
        await drainAndKillHolder();
        expect(running()).toBe(tasks);
        expect(findBreach(cluster.platform.journal.events)).toBeUndefined();
    });
});
