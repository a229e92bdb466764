import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Tasks whose failures, each stored with a run number, take more than a row of the store. */
const tasks = 12_000;
const ordinaryWorkflows = 10;
/** Milliseconds of work of each task. */
const work = 500;
const idOf = (number: number): string => number.toString(16).padStart(16, "0");

describe("a wide step whose tasks all fail at first", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts: { "east-a": 3 },
            workers: { "east-a": 6 },
            cpu: 64_000,
            cpuOf: () => 10,
        });
        await time.advance(3_000);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    // Guards against ends that are never acknowledged, of any workflow, since the failures of one don't fit into its row.
    it("does not keep the ends of other workflows from being stored", async () => {
        const [first = ""] = [...cluster.hosts.keys()];
        void cluster.submit(first, "f".repeat(16), [{ count: tasks, cpu: 10 }], { work, failures: 1 });
        await time.advance(10_000);
        for (let number = 0; number < ordinaryWorkflows; number += 1) {
            void cluster.submit(first, idOf(number), [{ cpu: 10 }], { work });
        }
        await time.advance(20_000);
        const settled = cluster.platform.store.rows("settled").map(({ key }) => key);
        expect(settled.filter(key => key !== "f".repeat(16))).toHaveLength(ordinaryWorkflows);
        const ends = cluster.platform.journal.events.filter(event => event.kind === "ended").length;
        expect(ends).toBeGreaterThan(tasks);
    });
});
