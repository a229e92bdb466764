import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { observeJob, startLongRunningJob } from "./long-running-job.js";

const tasks = 2;

describe("late deadlines and a slow load", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        ({ time, cluster } = await startLongRunningJob({ tasks, runFor: 1_000 }));
    });
    const { running, workersOfTasks, cutOff, delayDeadlines } = observeJob(() => cluster);
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    // Guards against a sign of late orders that the next holder counts from its load, and not from the takeover.
    it.each([[0, 3_150], [6_000, 3_150], [6_600, 3_150]])(
        "load delayed by %d ms, grants by %d ms",
        async (loadDelay, delay) => {
            const [other = "", worker = ""] = workersOfTasks();
            const sign = delayDeadlines(other, 3_000);
            await time.advance(3_000);
            const { heal, granted } = delayDeadlines(worker, delay);
            await time.advanceUntil(() => granted() > 0, 5_000, 10);
            const reconnect = cutOff(worker);
            heal();
            await time.advance(50);
            const holder = cluster.holder();
            cluster.kill(holder ?? "");
            sign.heal();
            const healStore = cluster.platform.network.addFault({
                matches: (...[, call]) =>
                    loadDelay > 0 && call.path.startsWith("/api/rows-get")
                    && (call.path + JSON.stringify(call)).includes("progress"),
                action: "refuse",
            });
            await time.advanceUntil(() => cluster.holder() !== holder, 10_000, 10);
            await time.advance(loadDelay);
            healStore();
            await time.advance(20_000);
            reconnect();
            await time.advance(5_000);
            expect(findBreach(cluster.platform.journal.events)).toBeUndefined();
            expect(running()).toHaveLength(tasks);
        },
    );
});
