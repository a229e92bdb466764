import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { observeJob, startLongRunningJob } from "./long-running-job.js";

const tasks = 4;
/** Milliseconds from the crash of a worker until its holder knows that it does not answer. */
const detectionTime = 1_500;
/** Milliseconds until another worker answers at the address of the crashed one, and its tasks have started elsewhere. */
const replacementTime = 4_000;
/** Milliseconds after the loss of the holder within which the leases of the other lost worker still last. */
const leaseTime = 4_000;
/** Milliseconds in which the next holder must not start a task twice. */
const observedTime = 9_000;

describe("long-running tasks whose workers did not answer the former holder", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        ({ time, cluster } = await startLongRunningJob({ tasks, runFor: 4_000 }));
    });
    const { runningOf, running, workersOfTasks } = observeJob(() => cluster);
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    // Guards against tasks that wait for the leases of another lost worker, on which they had never run (issue 50).
    it("run again once their workers are known to have ended, although another worker is lost with the holder", async () => {
        const { platform } = cluster;
        const [crashed = "", lost = ""] = workersOfTasks();
        const expected = runningOf(crashed);
        platform.crashWorker(crashed);
        await time.advance(detectionTime);
        platform.workers.get(lost)?.kill();
        cluster.kill(cluster.holder() ?? "");
        await time.advance(leaseTime);
        expect(running()).toEqual(expect.arrayContaining([...expected]));
        expect(findBreach(platform.journal.events)).toBeUndefined();
    });

    // Guards against a second run beside the first one: the next holder takes the stored workers for all on which a task may
    // run, while the former holder has started it on another one.
    it("start elsewhere only after that is stored", async () => {
        const { platform } = cluster;
        const [crashed = ""] = workersOfTasks();
        const [task = ""] = runningOf(crashed);
        platform.crashWorker(crashed);
        await time.advance(detectionTime);
        const heal = platform.network.addFault({
            matches: (...[, call]) =>
                call.path === "/api/rows-tx" && JSON.stringify(call.body).includes('"unanswered-starts"'),
            action: "refuse",
        });
        await time.advance(replacementTime);
        const started = [...platform.workers.keys()].find(worker => runningOf(worker).includes(task));
        if (started !== undefined) {
            platform.network.addFault({
                matches: (...[, call]) => call.address === platform.addressOf(started),
                action: "cut",
            });
        }
        cluster.kill(cluster.holder() ?? "");
        heal();
        await time.advance(observedTime);
        expect(findBreach(platform.journal.events)).toBeUndefined();
        expect(running()).toContain(task);
    });
});
