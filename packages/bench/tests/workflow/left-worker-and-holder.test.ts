import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const job = "00000000000000a1";
const tasks = 4;
const cpu = 4_000;
/** Milliseconds from the drain until the worker leaves: its task runs elsewhere by then. */
const drainTime = 4_000;
/** Milliseconds from a worker's crash to the loss of the holder: too short for another worker to answer at its address. */
const untilHolderIsLost = 1_500;
/** Milliseconds after the loss of the holder within which the tasks run again; another worker answers after 1.5 s. */
const expectedTime = 3_500;

describe("workers that have left after their drain, under the next holder", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts: { "east-a": 3 },
            workers: { "east-a": 6 },
            longestLease: 10_000,
            cpuOf: () => cpu,
        });
        await time.advance(3_000);
        void cluster.submit(cluster.holder() ?? "", job, [{ count: tasks, cpu, isLasting: true }], { isLasting: true });
        await time.advance(4_000);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    const runningOf = (worker: string): readonly string[] =>
        cluster.platform.workers.get(worker)?.running().filter(task => task.startsWith(job)) ?? [];
    const running = (): number =>
        [...cluster.platform.workers.keys()].reduce((sum, worker) => sum + runningOf(worker).length, 0);
    const workersOfTasks = (): readonly string[] =>
        [...cluster.platform.workers.keys()].filter(worker => runningOf(worker).length > 0);

    // Guards against a wait for the leases of workers that had left without any task (issue 50): nothing answers at their
    // addresses, and the next holder did not know that nothing ran there.
    it("hold no task back that was lost with another worker", async () => {
        const { platform } = cluster;
        const [left = "", lost = ""] = workersOfTasks();
        platform.setWorkerState(left, "draining");
        await time.advance(drainTime);
        expect(running()).toBe(tasks);
        platform.workers.get(left)?.kill();
        platform.setWorkerState(left, undefined);
        platform.crashWorker(lost);
        await time.advance(untilHolderIsLost);
        cluster.kill(cluster.holder() ?? "");
        await time.advance(expectedTime);
        expect(running()).toBe(tasks);
        expect(findBreach(platform.journal.events)).toBeUndefined();
    });
});
