import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const tasks = 12;
/** Milliseconds that a task takes. */
const work = 8_000;
/** Milliseconds from the worker's announcement until it is cut off: too short for the holder to move its tasks. */
const noticeTime = 300;
/** Milliseconds without a heartbeat after which the worker's entry is removed. */
const entryTimeout = 3_300;
/** Milliseconds from that until the worker can be reached again; it runs on all the while. */
const restOfCut = 2_200;

describe("a draining worker that is cut off", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({ hosts: { "east-a": 3 }, workers: { "east-a": 6 }, longestLease: 10_000 });
        await time.advance(3_000);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    // Guards against tasks that run twice at a time: a refused connection, a missing entry and an announced drain counted as
    // the end of a worker that ran on behind a cut (review/9).
    // How much of its lease is left at the cut depends on when the holder has last extended it.
    it.each([0, 400, 800, 1_200, 1_600, 2_000])(
        "keeps its tasks until its leases end, refused after %i ms",
        async phase => {
            const { platform } = cluster;
            void cluster.submit(cluster.holder() ?? "", "00000000000000a1", [{ count: tasks }], { work });
            await time.advance(1_500 + phase);
            const worker = [...platform.workers.values()].find(({ running }) => running().length > 0)?.id ?? "";
            platform.setWorkerState(worker, "draining");
            await time.advance(noticeTime);
            const heal = platform.network.addFault({
                matches: (...[, call]) => call.address === platform.addressOf(worker),
                action: "refuse-connection",
            });
            await time.advance(entryTimeout);
            platform.setWorkerState(worker, undefined);
            await time.advance(restOfCut);
            heal();
            await time.advance(3 * work);
            expect(findBreach(platform.journal.events)).toBeUndefined();
            expect(platform.journal.events.filter(({ kind }) => kind === "started").length).toBeGreaterThanOrEqual(
                tasks,
            );
        },
    );
});
