import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Factor by which the store is slower than usual; it then answers a call in 240 ms. */
const slowdown = 60;
/** Milliseconds from a failed run to the next run of its task: two writes, the last of which begins after its end. */
const retryBound = 2 * 240 + 200;
/** Milliseconds between the ends of two tasks; shorter than a write. */
const endInterval = 60;
const steps = 30;

describe("failed tasks of a workflow whose other tasks end one after another", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({ hosts: { "east-a": 2 }, workers: { "east-a": 8 }, cpuOf: () => 1_000 });
        await time.advance(4_000);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    /** Milliseconds from the failed run of each task to its next one. */
    const retryTimes = (): readonly number[] => {
        const { events } = cluster.platform.journal;
        return events.flatMap(failed => {
            if (failed.kind !== "ended" || failed.how !== "failed") {
                return [];
            }
            const next = events.find(event =>
                event.kind === "started" && event.task === failed.task && event.run > failed.run
            );
            return [(next?.at ?? Infinity) - failed.at];
        });
    };

    // Guards against retries that wait until no end of the whole workflow is being stored (issue 50).
    it("run again once their own failure is stored", async () => {
        cluster.platform.store.slowdown = slowdown;
        void cluster.submit(cluster.holder() ?? "", "00000000000000a1", Array(steps).fill({}), {
            failures: 1,
            workByStep: Array.from({ length: steps }, (...[, number]) => 600 + number * endInterval),
        });
        await time.advance(15_000);
        const times = retryTimes();
        expect(times).toHaveLength(steps);
        expect(Math.max(...times)).toBeLessThanOrEqual(retryBound);
        expect(findBreach(cluster.platform.journal.events)).toBeUndefined();
    });
});
