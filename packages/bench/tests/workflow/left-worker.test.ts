import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const worker = "w-east-b-0";
const rack = "r-east-b-0";

describe("a worker that is about to leave", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({ hosts: { "east-a": 3 }, workers: { "east-a": 1, "east-b": 1 } });
        await time.advance(3_000);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    const startsOnWorker = (): number =>
        cluster.platform.journal.events.filter(event => event.kind === "started" && event.worker === worker).length;

    // Guards against tasks that are lost since the next holder starts them on a worker that leaves: the stored roster
    // did not say so, and the successor did not wait for the platform's list or granted the worker another 2.5 s.
    it.each<[string, "draining" | undefined]>([
        ["drains, while the list of workers can't be read", "draining"],
        ["is no longer listed", undefined],
    ])("gets no task from the next holder of its cell if it %s", async (...[, state]) => {
        cluster.platform.setWorkerState(worker, state);
        await time.advance(6_000);
        const former = cluster.holder() ?? "";
        void cluster.submit(former, "00000000000000a1", [{ requiredLabel: rack }], { work: 300 });
        await time.advance(100);
        cluster.platform.network.addFault({
            matches: (...[, call]) => state === "draining" && call.path.startsWith("/api/rows-feed?table=servers"),
            action: "refuse",
        });
        cluster.platform.network.addFault({
            matches: (...[, call]) => state === "draining" && call.path.startsWith("/api/rows-get?table=servers"),
            action: "refuse",
        });
        cluster.kill(former);
        await time.advance(6_000);
        expect({ isTaken: cluster.holder() !== former, starts: startsOnWorker() }).toEqual({
            isTaken: true,
            starts: 0,
        });
    });
});
