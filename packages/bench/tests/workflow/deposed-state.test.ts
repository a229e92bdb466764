import type { JobId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Milliseconds from the start until the cluster serves requests. */
const warmUp = 4_000;
const job = "00000000000000a1";

describe("the state of a workflow, answered by a holder that was deposed while it was cut off", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts: { "east-a": 2 },
            workers: { "east-a": 3 },
            cpuOf: () => 1_000,
        });
        await time.advance(warmUp);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    const stateAt = async (host: string): Promise<string> => {
        const query = cluster.hosts.get(host)?.router.state(job as JobId);
        await time.advance(2_500);
        const answer = await query;
        return answer?.kind === "known" ? answer.value : String(answer?.kind);
    };

    // Guards against a deposed holder that answers 'running' from its memory after other hosts answered 'completed'.
    it.each([0, 10, 50, 100])("stays completed %i ms after the host is back", async wait => {
        const deposed = cluster.holder() ?? "";
        const successor = [...cluster.hosts.keys()].find(host => host !== deposed) ?? "";
        void cluster.submit(deposed, job, [{}], { work: 1_000 });
        await time.advance(200);
        const heal = cluster.isolate(deposed);
        await time.advance(4_000);
        expect(await stateAt(successor)).toBe("completed");
        heal();
        await time.advance(wait);
        expect(await stateAt(deposed)).toBe("completed");
    });

    // Guards against a holder that answers unavailable, although it knows the state, while no host reaches the store.
    it("is answered from memory while no host reaches the store", async () => {
        const holder = cluster.holder() ?? "";
        void cluster.submit(holder, job, [{}], { work: 8_000 });
        await time.advance(200);
        const heal = cluster.platform.network.addFault({
            matches: (...[, call]) => call.address === cluster.platform.storeAddress,
            action: "cut",
        });
        await time.advance(2_000);
        const states = await Promise.all([stateAt(holder)]);
        heal();
        expect(states).toEqual(["running"]);
    });
});
