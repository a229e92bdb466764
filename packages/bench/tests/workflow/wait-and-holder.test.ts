import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { observeJob, startLongRunningJob } from "./long-running-job.js";

const tasks = 3;
/** Milliseconds of a wait until its holder is lost. */
const waited = 2_000;
/** Milliseconds after the loss of a holder within which a task that may run at once has to run again. */
const restartTime = 4_000;

describe("long-running tasks whose holder is lost in the middle of a wait", () => {
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
    const cutCalls = (path: string): () => void =>
        cluster.platform.network.addFault({ matches: (...[, call]) => call.path === path, action: "cut" });
    const loseHolder = async (): Promise<void> => {
        cluster.kill(cluster.holder() ?? "");
        await time.advance(restartTime);
    };
    const expectAllToRunOnce = (): void => {
        expect(findBreach(cluster.platform.journal.events)).toBeUndefined();
        expect([...running()].sort()).toHaveLength(tasks);
    };

    // Guards against a task that stays on a worker which drains, since the order to stop it is lost with the holder.
    it("move although the former holder's order to stop them had no answer", async () => {
        const [draining = ""] = workersOfTasks();
        const heal = cutCalls("/api/run-stop");
        cluster.platform.setWorkerState(draining, "draining");
        await time.advance(waited);
        heal();
        await loseHolder();
        expect(runningOf(draining)).toEqual([]);
        expectAllToRunOnce();
    });

    // Guards against a stop whose end the next holder takes for that of a run which may go on elsewhere.
    it("run again although the end of their stopped runs was not acknowledged", async () => {
        const [draining = ""] = workersOfTasks();
        cluster.platform.setWorkerState(draining, "draining");
        await time.advanceUntil(() => runningOf(draining).length === 0, 3_000, 5);
        await loseHolder();
        expectAllToRunOnce();
    });

    // Guards against a wait for an unanswered start that counts anew from the takeover.
    it("run again after a start without answer, on any worker once the order can't be carried out", async () => {
        const [draining = ""] = workersOfTasks();
        const heal = cutCalls("/api/run-start");
        cluster.platform.setWorkerState(draining, "draining");
        await time.advance(waited);
        heal();
        await loseHolder();
        expectAllToRunOnce();
    });

    // Guards against runs that the next holder takes for lost, since their worker has restarted meanwhile.
    it("run again after their worker has restarted under its id", async () => {
        const [restarted = ""] = workersOfTasks();
        cluster.platform.workers.get(restarted)?.restart();
        await loseHolder();
        expectAllToRunOnce();
    });
});
