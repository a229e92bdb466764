import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const worker = "w-east-a-0";
/** Milliseconds between two jobs. */
const jobInterval = 100;
const restarts = 8;
const jobsPerKind = 12;
/** Milliseconds in which other tasks show the restart of the worker; starts that are sent before can't know of it. */
const noticeTime = 300;

describe("a worker that is back under its id as another kind", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    let jobs: number;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({ hosts: { "east-a": 3 }, workers: { "east-a": 2 } });
        jobs = 0;
        await time.advance(3_000);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    /** Submits jobs of tasks that require kind a; returns the number of their starts on the worker. */
    const countStarts = async (): Promise<number> => {
        const startsOnWorker = (): number =>
            cluster.platform.journal.events.filter(event => event.kind === "started" && event.worker === worker).length;
        jobs += 1;
        void cluster.submit(cluster.holder() ?? "", `00000000000${String(10_000 + jobs)}`, [{ count: 8 }], {
            work: 50,
        });
        await time.advance(noticeTime);
        const before = startsOnWorker();
        for (let number = 0; number < jobsPerKind; number += 1) {
            jobs += 1;
            const id = `00000000000${String(10_000 + jobs)}`;
            void cluster.submit(cluster.holder() ?? "", id, [{ count: 4, requiredLabel: "a" }], { work: 150 });
            await time.advance(jobInterval);
        }
        return startsOnWorker() - before;
    };

    // Guards against tasks on a worker without the label that they require: a report showed the restart before the directory was
    // read, and the labels were those of the former incarnation (review, labels-after-restart).
    it("gets no task by the labels that it had before", async () => {
        const startsAsA: number[] = [];
        const startsAsB: number[] = [];
        for (let restart = 0; restart < restarts; restart += 1) {
            startsAsA.push(await countStarts());
            cluster.platform.restartAs(worker, "b");
            startsAsB.push(await countStarts());
            cluster.platform.restartAs(worker, "a");
        }
        expect(startsAsB).toEqual(Array(restarts).fill(0));
        expect(Math.min(...startsAsA)).toBeGreaterThan(0);
    });
});
