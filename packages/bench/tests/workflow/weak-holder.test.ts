import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Milliseconds until all cells have a holder. */
const warmUp = 5_000;
/** Milliseconds within which the cell of a killed holder has a new one. */
const takeoverBound = 2_500;
/** Milliseconds within which a holder moves a cell to a host that is better by far. */
const moveBound = 13_000;
const cell = "east-a/0";
const processors = { "h-east-a-0": 1.35, "h-east-a-1": 0.324, "h-east-b-0": 1.35, "h-east-b-1": 1.35 };

describe("a cell whose holder is lost", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts: { "east-a": 2, "east-b": 2, "west-a": 1 },
            workers: { "east-a": 2, "east-b": 2, "west-a": 2 },
            regions: { "east-a": "east", "east-b": "east", "west-a": "west" },
            processors,
            largestCell: 0,
        });
        await time.advance(warmUp);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    // Guards against a cell that a weak host beside its workers takes while a strong host of the region holds nothing.
    it("goes to a strong host of the region, not to a weak one of its failure domain", async () => {
        const before = cluster.holder(cell);
        cluster.kill("h-east-a-0");
        await time.advance(takeoverBound);
        const idle = ["h-east-b-0", "h-east-b-1"].find(id => id !== cluster.holder("east-b/0"));
        expect([before, cluster.holder(cell)]).toEqual(["h-east-a-0", idle]);
    });

    // Guards against a cell that stays on a weak host for as long as that host lives.
    it("moves from a weak host to a strong one that comes back", async () => {
        ["h-east-a-0", "h-east-b-0", "h-east-b-1"].forEach(cluster.kill);
        await time.advance(takeoverBound);
        const meanwhile = cluster.holder(cell);
        cluster.start("h-east-a-0");
        await time.advance(moveBound);
        expect([meanwhile, cluster.holder(cell)]).toEqual(["h-east-a-1", "h-east-a-0"]);
    });
});
