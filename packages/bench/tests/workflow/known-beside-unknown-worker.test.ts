import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const job = "00000000000000a1";
const tasks = 4;
const cpu = 4_000;
/** Milliseconds after the loss of the holder at which the next one has heard of all workers but one. */
const takeoverTime = 2_000;
/** Milliseconds within which a task moves from a worker that drains; the other worker's leases last for longer. */
const moveTime = 3_000;

describe("long-running tasks under a holder that has yet to hear of a lost worker", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts: { "east-a": 3 },
            workers: { "east-a": 6 },
            longestLease: 10_000,
            cpuOf: () => cpu,
            drainTime: 15_000,
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
    const running = (): readonly string[] => [...cluster.platform.workers.keys()].flatMap(runningOf);
    const workersOfTasks = (): readonly string[] =>
        [...cluster.platform.workers.keys()].filter(worker => runningOf(worker).length > 0);

    // Guards against tasks that this holder has stopped itself and does not start again (issue 50): they waited for the
    // leases of a worker on which they had never run.
    it("move at once from a worker that drains", async () => {
        const { platform } = cluster;
        const [lost = "", draining = ""] = workersOfTasks();
        const moved = runningOf(draining);
        platform.workers.get(lost)?.kill();
        cluster.kill(cluster.holder() ?? "");
        await time.advance(takeoverTime);
        platform.setWorkerState(draining, "draining");
        await time.advance(moveTime);
        expect(runningOf(draining)).toEqual([]);
        expect(running()).toEqual(expect.arrayContaining([...moved]));
        expect(findBreach(platform.journal.events)).toBeUndefined();
    });
});
