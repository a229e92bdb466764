import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { observeJob, startLongRunningJob } from "./long-running-job.js";

const tasks = 2;
/** Milliseconds for which the worker does not answer at first: shorter than its lease. */
const silence = 5_000;
/** Milliseconds in which the worker answers again; its lease would be extended. */
const contactTime = 1_600;
/** Milliseconds after the loss of the holder in which the next one must not start the tasks twice. */
const observedTime = 9_000;

describe("workers for which the stored roster tells when their leases end", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        ({ time, cluster } = await startLongRunningJob({ tasks, runFor: 4_000 }));
    });
    const { runningOf, running, cutOff } = observeJob(() => cluster);
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    // Guards against a second run beside the first one: a worker that answered again got a longer lease than the stored
    // roster told the next holder.
    it("get no longer lease before the roster is stored again", async () => {
        const { network, journal, workers } = cluster.platform;
        const worker = [...workers.keys()].find(id => runningOf(id).length > 0) ?? "";
        const heal = cutOff(worker);
        await time.advance(silence);
        network.addFault({
            matches: (...[, call]) => call.path === "/api/rows-tx" && JSON.stringify(call.body).includes('"roster"'),
            action: "refuse",
        });
        heal();
        await time.advance(contactTime);
        cutOff(worker);
        cluster.kill(cluster.holder() ?? "");
        await time.advance(observedTime);
        expect(findBreach(journal.events)).toBeUndefined();
        expect(running()).toHaveLength(tasks);
    });

    // Guards against a worker whose runs lapse, since it answers again and gets no new lease.
    it("get leases again once they answer", async () => {
        const worker = [...cluster.platform.workers.keys()].find(id => runningOf(id).length > 0) ?? "";
        const heal = cutOff(worker);
        await time.advance(silence);
        heal();
        await time.advance(observedTime);
        expect(runningOf(worker)).toHaveLength(1);
        expect(running()).toHaveLength(tasks);
    });
});
