import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const domains = ["a", "b", "c", "d", "e", "f"];

describe("the cell of a failure domain of six hosts", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(() => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts: Object.fromEntries(domains.map(domain => [domain, 6])),
            workers: Object.fromEntries(domains.map(domain => [domain, 1])),
            largestCell: 0,
        });
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    // Guards against hosts of other domains that wait in turn for each killed host of the cell's own domain.
    it("has a new holder soon after all hosts of the domain were killed", async () => {
        await time.advance(6_000);
        const before = cluster.holder("a/0");
        expect(before).toContain("h-a-");
        [...cluster.hosts.keys()].filter(id => id.startsWith("h-a-")).forEach(cluster.kill);
        const start = time.now();
        await time.advanceUntil(() => cluster.holder("a/0") !== before, 10_000);
        expect(time.now() - start).toBeLessThan(2_500);
    });
});
