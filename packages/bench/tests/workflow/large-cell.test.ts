import type { JobId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Milliseconds from the start until the cluster serves requests. */
const warmUp = 6_000;
const job = "00000000000000a1";

describe("one cell with all workers of a large site", () => {
    let time: FakeTime;
    beforeEach(() => {
        time = installFakeTime();
    });
    afterEach(() => {
        time.restore();
    });

    // Guards against a roster that the store refuses because of its size: no worker of the cell then gets a task.
    it("runs workflows on 342 workers", async () => {
        const cluster = createWorkflowCluster({
            hosts: { "east-a": 1, "east-b": 1 },
            workers: { "east-a": 171, "east-b": 171 },
            largestCell: 342,
        });
        await time.advance(warmUp);
        const [host = ""] = cluster.hosts.keys();
        void cluster.submit(host, job, [{ count: 20 }], { work: 300 });
        await time.advance(3_000);
        const query = cluster.hosts.get(host)?.router.state(job as JobId);
        await time.advance(2_000);
        const answer = await query;
        cluster.stop();
        expect(answer).toEqual({ kind: "known", value: "completed" });
    });
});
