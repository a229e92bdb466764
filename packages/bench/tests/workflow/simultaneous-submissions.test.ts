import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Milliseconds from the start until both cells have a holder and their capacity is known. */
const warmUp = 5_000;
/** Milliseconds that the store takes to carry out a write. */
const writeDelay = 150;
/** Milliseconds within which all tasks run, if their cells have room for them. */
const startTime = 3_000;
const tasks = 4;
/** Workflows of which each cell has room for half, without the share that it keeps for short-lived work. */
const workflows = 6;

describe("long-running workflows that are submitted at the same time", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts: { "east-a": 2, "east-b": 2 },
            workers: { "east-a": 4, "east-b": 4 },
            cpuOf: () => 4_000,
            largestCell: 0,
        });
        await time.advance(warmUp);
        cluster.platform.network.addFault({
            matches: (...[, call]) => call.path === "/api/rows-tx",
            action: "slow",
            delay: writeDelay,
        });
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    // Guards against a cell that accepts more long-running work than fits while another cell has room: submissions whose
    // write was under way were left out of its capacity.
    it.each([0, 1, 2, 3, 4])("find room for all their tasks (set %i)", async set => {
        const hosts = [...cluster.hosts.keys()];
        const ids = Array.from(
            { length: workflows },
            (...[, index]) => (set * workflows + index + 1).toString(16).padStart(16, "0"),
        );
        ids.forEach((id, index) => {
            const steps = [{ count: tasks, cpu: 4_000, isLasting: true }];
            void cluster.submit(hosts[index % hosts.length] ?? "", id, steps, { isLasting: true });
        });
        await time.advance(startTime);
        const running = [...cluster.platform.workers.values()].flatMap(worker => worker.running());
        expect(running).toHaveLength(workflows * tasks);
    });
});
