import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const job = "00000000000000a1";
const tasks = 2;
const cpu = 4_000;
/** Milliseconds for which the first holder waits for the leases of the lost worker before it is lost as well. */
const waited = 6_000;
/** Milliseconds for which the second holder has the cell: shorter than a poll that gets no answer. */
const heldFor = 500;
/** Milliseconds without a disturbance within which users expect long-running tasks to run that have waited for over 9 s. */
const calmTime = 7_000;

describe("long-running tasks that are lost with a worker that does not answer", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts: { "east-a": 5 },
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
    const countRunning = (workers: readonly string[]): number =>
        workers.reduce((sum, worker) => sum + runningOf(worker).length, 0);

    // Guards against a wait for the leases of a silent worker that starts anew with each holder.
    it("run again within 7 s after the loss of the holder that waited for its leases", async () => {
        const { platform } = cluster;
        const workers = [...platform.workers.keys()];
        const lost = workers.find(worker => runningOf(worker).length > 0) ?? "";
        const others = workers.filter(worker => worker !== lost);
        platform.network.addFault({
            matches: (...[, call]) => call.address === platform.addressOf(lost),
            action: "cut",
        });
        await time.advance(waited);
        cluster.kill(cluster.holder() ?? "");
        await time.advance(calmTime);
        expect(countRunning(others)).toBe(tasks);
    });

    // Guards against a wait that starts anew since the next holder stores the roster before it has tried to reach the worker.
    it("run again within 7 s although the next holder is lost at once as well", async () => {
        const { platform } = cluster;
        const workers = [...platform.workers.keys()];
        const lost = workers.find(worker => runningOf(worker).length > 0) ?? "";
        const others = workers.filter(worker => worker !== lost);
        platform.network.addFault({
            matches: (...[, call]) => call.address === platform.addressOf(lost),
            action: "cut",
        });
        await time.advance(waited);
        const first = cluster.holder() ?? "";
        cluster.kill(first);
        await time.advanceUntil(() => cluster.holder() !== first, 5_000, 10);
        await time.advance(heldFor);
        cluster.kill(cluster.holder() ?? "");
        await time.advance(calmTime);
        expect(countRunning(others)).toBe(tasks);
    });
});
