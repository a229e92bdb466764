import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Milliseconds until the cell has a holder. */
const warmUp = 3_000;
/** Milliseconds between submissions of ten tasks of half a second to one and a half. */
const submitInterval = 150;
const tasks = 10;
/** Milliseconds within which slow workers have to be found. */
const findTime = 5_000;
/** Milliseconds after which a slow worker that is idle gets an urgent task again. */
const retryTime = 40_000;
/** Share of their even share of starts that slow workers may get from then on. */
const shareBound = 0.1;

describe("urgent work while a fifth of the workers take five times as long", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    let submitted = 0;
    /** Lets time pass with a steady load of urgent work, whose declared run times are off by up to nine tenths. */
    const load = async (milliseconds: number): Promise<void> => {
        for (let elapsed = 0; elapsed < milliseconds; elapsed += submitInterval) {
            submitted += 1;
            const work = 500 + submitted * 7 % 10 * 100;
            const expectedRunTime = work * (0.1 + submitted * 3 % 10 * 0.2);
            const host = [...cluster.hosts.keys()].find(id => id !== cluster.holder()) ?? "";
            const id = submitted.toString(16).padStart(16, "0");
            void cluster.submit(host, id, [{ count: tasks, cpu: 2_000, expectedRunTime }], { work });
            await time.advance(submitInterval);
        }
    };
    const slowIds = (): readonly string[] =>
        [...cluster.platform.workers.keys()].filter(id => Number(id.split("-").at(-1)) % 5 === 0);
    const setSlowness = (slowness: number): void => {
        slowIds().forEach(id => {
            const worker = cluster.platform.workers.get(id);
            if (worker !== undefined) {
                worker.slowness = slowness;
            }
        });
    };
    /** Starts since `since` on the slow workers, as a share of their even share of all starts. */
    const shareOfSlow = (since: number): number => {
        const starts = cluster.platform.journal.events.filter(event => event.kind === "started" && event.at >= since);
        return starts.filter(({ worker }) => slowIds().includes(worker)).length / (starts.length / 5);
    };
    beforeEach(async () => {
        time = installFakeTime();
        submitted = 0;
        cluster = createWorkflowCluster({
            hosts: { "east-a": 2, "east-b": 2 },
            workers: { "east-a": 10, "east-b": 10 },
            cpuOf: () => 2_000,
        });
        await time.advance(warmUp);
        await load(findTime);
        setSlowness(5);
        await load(findTime);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    // Guards against urgent callers who wait five times as long for what lands on a slow worker.
    it("leaves these workers within five seconds, and uses them again once they have recovered", async () => {
        const foundAt = time.now();
        await load(findTime);
        expect(shareOfSlow(foundAt)).toBeLessThan(shareBound);
        setSlowness(1);
        // The last slow runs end, and urgent work measures the workers anew, since no other work does.
        await time.advance(retryTime);
        await load(findTime);
        const recoveredAt = time.now();
        await load(findTime);
        expect(shareOfSlow(recoveredAt)).toBeGreaterThan(0.5);
    });

    // Guards against a new holder that starves urgent work, or never learns, what its predecessor knew.
    it("leaves them again after another host has taken the cell, without a wait for room", async () => {
        cluster.kill(cluster.holder() ?? "");
        await load(findTime);
        const takenAt = time.now();
        const before = submitted;
        await load(findTime);
        expect(shareOfSlow(takenAt)).toBeLessThan(shareBound);
        const starts = cluster.platform.journal.events.filter(event => event.kind === "started" && event.at >= takenAt);
        expect(starts.length).toBeGreaterThanOrEqual((submitted - before - 1) * tasks);
        expect(findBreach(cluster.platform.journal.events)).toBeUndefined();
    });
});
