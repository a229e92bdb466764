import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Milliseconds until all cells have a holder. */
const warmUp = 6_000;
/** Milliseconds that a busy host takes to accept a connection; longer than a submission waits for one. */
const openTime = 600;
/** Milliseconds within which a submission is answered. */
const answerTime = 1_500;

describe("the first submission of an entry host that holds no cell", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts: { "east-a": 4, "east-b": 4 },
            workers: { "east-a": 3, "east-b": 3 },
            cpuOf: () => 1_000,
            largestCell: 0,
            openTime,
        });
        await time.advance(warmUp);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    // Guards against submissions that are refused since nobody has opened a connection to the busy holder before.
    it("is accepted although holders take long to accept a connection", async () => {
        const hosts = [...cluster.hosts.keys()];
        const answers = hosts.map((host, index) =>
            cluster.submit(host, String(index + 1).padStart(16, "0"), [{}], { work: 300 })
        );
        await time.advance(answerTime);
        expect((await Promise.all(answers)).map(({ kind }) => kind)).toEqual(hosts.map(() => "accepted"));
    });
});
