import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const job = "00000000000000a1";
const tasks = 8;
const cpu = 4_000;
/** Milliseconds between two urgent workflows, and of work of their tasks. */
const urgentInterval = 100;
const urgentWork = 600;
/** Milliseconds after a worker's last heartbeat at which its entry is removed. */
const entryTimeout = 3_300;
/** Bound on the milliseconds from a loss until all tasks run again: 6 s after the last run and 3 s more break a promise. */
const longestAbsence = 9_000;
const idOf = (number: number): string => (1_000 + number).toString(16).padStart(16, "0");

describe("long-running tasks on a worker that is lost shortly before its holder", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    let urgentWorkflows: number;
    beforeEach(async () => {
        time = installFakeTime();
        urgentWorkflows = 0;
        cluster = createWorkflowCluster({
            hosts: { "east-a": 3 },
            workers: { "east-a": 4 },
            longestLease: 10_000,
            cpuOf: () => cpu,
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
            void cluster.submit(host, idOf(urgentWorkflows), [{ count: 1, cpu }], { work: urgentWork });
            await time.advance(urgentInterval);
        }
    };
    const runningOf = (worker: string): readonly string[] =>
        cluster.platform.workers.get(worker)?.running().filter(task => task.startsWith(job)) ?? [];
    const running = (): number =>
        [...cluster.platform.workers.keys()].reduce((sum, worker) => sum + runningOf(worker).length, 0);

    // Guards against tasks that wait as if they had never run, behind the room that is kept for urgent work: the successor
    // of their holder did not know that they had.
    it("run again within 9 s", async () => {
        const [lost = ""] = [...cluster.platform.workers.keys()].sort((left, right) =>
            runningOf(right).length - runningOf(left).length
        );
        cluster.platform.workers.get(lost)?.kill();
        const before = running();
        setTimeout(() => {
            cluster.platform.setWorkerState(lost, undefined);
        }, entryTimeout);
        cluster.kill(cluster.holder() ?? "");
        await passUrgently(longestAbsence);
        expect([before < tasks, running()]).toEqual([true, tasks]);
        expect(findBreach(cluster.platform.journal.events)).toBeUndefined();
    });
});
