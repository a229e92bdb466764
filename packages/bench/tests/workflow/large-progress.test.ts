import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Workflows of tasks that save long checkpoints; each has a second step of a short task beside them. */
const largeWorkflows = 40;
const tasksPerLargeWorkflow = 40;
/** Characters of a checkpoint: 1.6 MB for all tasks. */
const checkpointLength = 1_000;
const smallWorkflows = 10;
/** Milliseconds of work of a short task; all tasks start within less. */
const work = 4_000;
/** Milliseconds of work of the tasks with checkpoints: none ends before the test does. */
const longWork = 110_000;
/** Milliseconds for which the store is down, from the first end on. */
const outage = 4_500;
const idOf = (number: number): string => number.toString(16).padStart(16, "0");

describe("the progress of many workflows with long checkpoints", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts: { "east-a": 3 },
            workers: { "east-a": 4 },
            cpu: 64_000,
            cpuOf: () => 10,
        });
        await time.advance(3_000);
        const hosts = [...cluster.hosts.keys()];
        const submit = async (number: number, steps: readonly object[], script: object): Promise<void> => {
            void cluster.submit(hosts[number % hosts.length] ?? "", idOf(number), steps, script);
            await time.advance(20);
        };
        for (let number = 0; number < largeWorkflows; number += 1) {
            const steps = [{ count: tasksPerLargeWorkflow, cpu: 10, isCheckpointing: true }, { count: 1, cpu: 10 }];
            await submit(number, steps, { workByStep: [longWork, work], checkpointLength });
        }
        for (let number = 0; number < smallWorkflows; number += 1) {
            await submit(largeWorkflows + number, [{ count: 1, cpu: 10 }, { count: 1, cpu: 10, after: [0] }], { work });
        }
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    const ends = (): number => cluster.platform.journal.events.filter(event => event.kind === "ended").length;
    const settled = (): number => cluster.platform.store.rows("settled").length;

    // Guards against workflows that stand still (review case 2): the progress of others made a call of over 1 MB, which
    // the store refused again and again.
    it("is stored after an outage of the store", async () => {
        await time.advanceUntil(() => ends() > 0, 2 * work, 20);
        const heal = cluster.platform.network.addFault({
            matches: (...[, call]) => call.address === cluster.platform.storeAddress,
            action: "refuse",
        });
        await time.advance(outage);
        heal();
        await time.advance(work + 3_000);
        expect(settled()).toBe(smallWorkflows);
    });
});
