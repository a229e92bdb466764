import { findBreach, isWriteCall } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const job = "00000000000000a1";

describe("writes without answer, beyond acceptance", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts: { "east-a": 2, "east-b": 2 },
            workers: { "east-a": 3, "east-b": 3 },
            cpuOf: () => 1_000,
            largestSingleCell: 0,
        });
        await time.advance(4_000);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    const rosterOf = (cell: string): string =>
        JSON.stringify(cluster.platform.store.rows("cells").find(row => row.key === "roster" && row.part === cell));

    // Guards against a roster that the holder believes stored: the write that dropped a worker was done, its answer
    // lost, and the worker came back before the next write.
    it("starts tasks only on workers that the stored roster names", async () => {
        const worker = "w-east-a-0";
        const holder = cluster.holder("east-a/0") ?? "";
        const { platform } = cluster;
        const cut = platform.network.addFault({
            matches: (...[, call]) => call.address === platform.addressOf(worker),
            action: "cut",
        });
        platform.list(worker, undefined);
        const lose = platform.network.addFault({
            matches: (...[, call]) => isWriteCall(call) && JSON.stringify(call.body).includes('"key":"roster"'),
            action: "lose-answer",
        });
        await time.advanceUntil(() => !rosterOf("east-a/0").includes(worker), 20_000);
        expect(rosterOf("east-a/0")).not.toContain(worker);
        cut();
        platform.list(worker, "ready");
        await time.advance(1_500);
        lose();
        await time.advance(3_000);
        void cluster.submit(holder, job, [{ count: 8, isLasting: true }], { isLasting: true });
        await time.advance(2_000);
        const others = [...platform.workers.values()].filter(({ running }) => running().length > 0);
        const isInUse = (platform.workers.get(worker)?.running().length ?? 0) > 0;
        const isNamed = rosterOf("east-a/0").includes(worker);
        // The successor can't reach the worker, whose leases last on.
        platform.network.addFault({
            matches: (...[, call]) => call.address === platform.addressOf(worker),
            action: "cut",
        });
        cluster.kill(holder);
        await time.advance(5_000);
        expect({ others: others.length > 0, wrong: isInUse && !isNamed, breach: findBreach(platform.journal.events) })
            .toEqual({ others: true, wrong: false, breach: undefined });
    });
});
