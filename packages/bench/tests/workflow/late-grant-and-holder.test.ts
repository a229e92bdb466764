import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { observeJob, startLongRunningJob } from "./long-running-job.js";

const tasks = 2;
/** Milliseconds by which the deadline arrives late: before the lease that the worker has got expires. */
const delay = 3_000;
/** Milliseconds in which another worker shows that deadlines arrive late. */
const signTime = 3_000;
/** Milliseconds from the late deadline to the loss of the holder, before or after it has noticed that it has no answer. */
const unnoticed = 50;
const noticed = 2_000;
/** Milliseconds in which the next holder must not start the tasks twice; then the worker answers again. */
const observedTime = 20_000;

describe("deadlines that the former holder sent and that arrive late", () => {
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

    // Guards against a second run beside the first one: the next holder, from which the worker is cut off, counted the
    // leases of the former holder without a deadline that arrived late, or had a shorter bound from the stored roster.
    it.each([["has not noticed", unnoticed], ["has noticed", noticed]] as const)(
        "keep the next holder from a second run if the former one %s that the worker does not answer",
        async (...[, untilLoss]) => {
            const [other = "", worker = ""] = workersOfTasks();
            const sign = delayDeadlines(other, delay);
            await time.advance(signTime);
            const { heal, granted } = delayDeadlines(worker, delay);
            await time.advanceUntil(() => granted() > 0, 5_000, 10);
            const reconnect = cutOff(worker);
            heal();
            await time.advance(untilLoss);
            cluster.kill(cluster.holder() ?? "");
            sign.heal();
            await time.advance(observedTime);
            reconnect();
            await time.advance(5_000);
            expect(findBreach(cluster.platform.journal.events)).toBeUndefined();
            expect(running()).toHaveLength(tasks);
        },
    );
});
