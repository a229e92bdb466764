import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Milliseconds until the cell has a holder that has loaded its state. */
const warmUp = 3_000;
/** Milliseconds from a change of a worker's capacity within which no start may exceed the smaller one. */
const noticeBound = 2_500;
/** Milliseconds of load before and after a change. */
const loadTime = 6_000;
/** Milliseconds that a task runs. */
const work = 700;
const worker = "w-east-a-0";
const fullSize = 8;
const smallSize = 3;

describe("a worker whose capacity shrinks while it runs", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    let submitted: number;
    beforeEach(async () => {
        time = installFakeTime();
        submitted = 0;
        cluster = createWorkflowCluster({
            hosts: { "east-a": 3 },
            workers: { "east-a": 1 },
            cpu: fullSize * 1_000,
            cpuOf: () => 1_000,
        });
        await time.advance(warmUp);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    /** Keeps more tasks waiting than the worker has room for. */
    const playLoad = async (duration: number): Promise<void> => {
        for (let elapsed = 0; elapsed < duration; elapsed += work / 2) {
            submitted += 1;
            const id = submitted.toString(16).padStart(16, "0");
            void cluster.submit(cluster.holder() ?? "", id, [{ count: fullSize, cpu: 1_000 }], { work });
            await time.advance(work / 2);
        }
    };
    /** Most tasks that ran at the same time just after a start between two times. */
    const mostRunning = (from: number, until: number): number => {
        let running = 0;
        let most = 0;
        for (const { kind, at } of cluster.platform.journal.events) {
            running += kind === "started" ? 1 : kind === "ended" ? -1 : 0;
            most = kind === "started" && at >= from && at < until ? Math.max(most, running) : most;
        }
        return most;
    };

    // Guards against starts by a capacity that the worker no longer has (LIMIT).
    it("gets no more tasks than it has room for, and more again once it has grown", async () => {
        await playLoad(loadTime);
        cluster.platform.resizeWorker(worker, smallSize * 1_000);
        const shrunkAt = performance.now();
        await playLoad(loadTime);
        cluster.platform.resizeWorker(worker, fullSize * 1_000);
        const grownAt = performance.now();
        await playLoad(loadTime);
        expect([
            mostRunning(0, shrunkAt),
            mostRunning(shrunkAt + noticeBound, grownAt),
            mostRunning(grownAt, Infinity),
        ]).toEqual([fullSize, smallSize, fullSize]);
    });

    // Guards against a successor that starts tasks by the capacity that its predecessor stored long before.
    it("gets no more tasks from a successor that can't read the list of workers", async () => {
        await playLoad(loadTime);
        cluster.platform.resizeWorker(worker, smallSize * 1_000);
        const shrunkAt = performance.now();
        await playLoad(loadTime);
        const former = cluster.holder() ?? "";
        cluster.platform.network.addFault({
            matches: (...[, { path }]) => path.includes("table=servers"),
            action: "refuse",
        });
        cluster.kill(former);
        await playLoad(2 * loadTime);
        expect(cluster.holder()).not.toBe(former);
        expect(mostRunning(shrunkAt + noticeBound, Infinity)).toBe(smallSize);
    });
});
