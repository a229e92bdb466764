import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { observeJob, startLongRunningJob } from "./long-running-job.js";

const tasks = 4;
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
        ({ time, cluster } = await startLongRunningJob({ tasks, runFor: 4_000 }));
    });
    const { running, workersOfTasks } = observeJob(() => cluster);
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    // Guards against a wait for the leases of workers that had left without any task (issue 50): nothing answers at their
    // addresses, and the next holder did not know that nothing ran there.
    it("hold no task back that was lost with another worker", async () => {
        const { platform } = cluster;
        const [left = "", lost = ""] = workersOfTasks();
        platform.setWorkerState(left, "draining");
        await time.advance(drainTime);
        expect(running()).toHaveLength(tasks);
        platform.workers.get(left)?.kill();
        platform.setWorkerState(left, undefined);
        platform.crashWorker(lost);
        await time.advance(untilHolderIsLost);
        cluster.kill(cluster.holder() ?? "");
        await time.advance(expectedTime);
        expect(running()).toHaveLength(tasks);
        expect(findBreach(platform.journal.events)).toBeUndefined();
    });
});
