import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { observeJob, startLongRunningJob } from "./long-running-job.js";

const tasks = 4;
/** Milliseconds after the loss of the holder at which the next one has heard of all workers but one. */
const takeoverTime = 2_000;
/** Milliseconds within which a task moves from a worker that drains; the other worker's leases last for longer. */
const moveTime = 3_000;

describe("long-running tasks under a holder that has yet to hear of a lost worker", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        ({ time, cluster } = await startLongRunningJob({ tasks, runFor: 4_000, drainTime: 15_000 }));
    });
    const { runningOf, running, workersOfTasks } = observeJob(() => cluster);
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

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
