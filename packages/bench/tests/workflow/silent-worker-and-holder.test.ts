import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { observeJob, startLongRunningJob } from "./long-running-job.js";

const tasks = 2;
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
        ({ time, cluster } = await startLongRunningJob({ tasks, runFor: 4_000, hosts: { "east-a": 5 } }));
    });
    const { runningOf, workersOfTasks, cutOff } = observeJob(() => cluster);
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    /** Cuts a worker with a task off and lets the holder wait for its leases; returns the other workers. */
    const loseWorker = async (): Promise<readonly string[]> => {
        const [lost = ""] = workersOfTasks();
        cutOff(lost);
        await time.advance(waited);
        return [...cluster.platform.workers.keys()].filter(worker => worker !== lost);
    };
    const countRunning = (workers: readonly string[]): number =>
        workers.reduce((sum, worker) => sum + runningOf(worker).length, 0);

    // Guards against a wait for the leases of a silent worker that starts anew with each holder.
    it("run again within 7 s after the loss of the holder that waited for its leases", async () => {
        const others = await loseWorker();
        cluster.kill(cluster.holder() ?? "");
        await time.advance(calmTime);
        expect(countRunning(others)).toBe(tasks);
    });

    // Guards against a wait that starts anew since the next holder stores the roster before it has tried to reach the worker.
    it("run again within 7 s although the next holder is lost at once as well", async () => {
        const others = await loseWorker();
        const first = cluster.holder() ?? "";
        cluster.kill(first);
        await time.advanceUntil(() => cluster.holder() !== first, 5_000, 10);
        await time.advance(heldFor);
        cluster.kill(cluster.holder() ?? "");
        await time.advance(calmTime);
        expect(countRunning(others)).toBe(tasks);
    });
});
