import type { SendLimits } from "@jayfront/jayfrontd";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Milliseconds until the cell has a holder. */
const warmUp = 5_000;

describe("a submission that another host sends to the holder", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    let sent: (SendLimits | undefined)[];
    beforeEach(async () => {
        time = installFakeTime();
        sent = [];
        cluster = createWorkflowCluster({
            hosts: { "east-a": 2 },
            workers: { "east-a": 1 },
            onPeerCall: (...[, kind, , limits]) => {
                if (kind === "submit") {
                    sent.push(limits);
                }
            },
        });
        await time.advance(warmUp);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    // Guards against limits that the host drops on the way to the network, so that submissions wait for a connection
    // until their time is over.
    it("is given up if no connection opens in time", async () => {
        const other = [...cluster.hosts.keys()].find(id => id !== cluster.holder()) ?? "";
        const answered = cluster.submit(other, "00000000000000a1", [{ count: 1 }]);
        await time.advance(500);
        expect((await answered).kind).toBe("accepted");
        expect(sent).toEqual([{ sendWithin: expect.any(Number), openWithin: expect.any(Number) }]);
    });
});
