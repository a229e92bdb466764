import { findBreach, isDeadlineCall } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const job = "00000000000000a1";
const tasks = 2;
const cpu = 4_000;

describe("late deadlines and a slow load", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts: { "east-a": 3 },
            workers: { "east-a": 6 },
            longestLease: 10_000,
            cpuOf: () => cpu,
        });
        await time.advance(3_000);
        void cluster.submit(cluster.holder() ?? "", job, [{ count: tasks, cpu, isLasting: true }], { isLasting: true });
        await time.advance(1_000);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    const runningOf = (worker: string): readonly string[] =>
        cluster.platform.workers.get(worker)?.running().filter(task => task.startsWith(job)) ?? [];
    const cutOff = (worker: string): () => void =>
        cluster.platform.network.addFault({
            matches: (...[, call]) => call.address === cluster.platform.addressOf(worker),
            action: "cut",
        });
    const workersOfTasks = (): readonly string[] =>
        [...cluster.platform.workers.keys()].filter(id => runningOf(id).length > 0);
    const delayDeadlines = (worker: string, delay: number) => {
        let granted = 0;
        const heal = cluster.platform.network.addFault({
            matches: (...[, call]) => {
                const isGrant = call.address === cluster.platform.addressOf(worker) && isDeadlineCall(call);
                granted += isGrant ? 1 : 0;
                return isGrant;
            },
            action: "late-grant",
            delay,
        });
        return { heal, granted: () => granted };
    };

    // Guards against a sign of late orders that the next holder counts from its load, and not from the takeover.
    it.each([[0, 3_150], [6_000, 3_150], [6_600, 3_150]])(
        "load delayed by %d ms, grants by %d ms",
        async (loadDelay, delay) => {
            const [other = "", worker = ""] = workersOfTasks();
            const sign = delayDeadlines(other, 3_000);
            await time.advance(3_000);
            const { heal, granted } = delayDeadlines(worker, delay);
            await time.advanceUntil(() => granted() > 0, 5_000, 10);
            const reconnect = cutOff(worker);
            heal();
            await time.advance(50);
            const holder = cluster.holder();
            cluster.kill(holder ?? "");
            sign.heal();
            const healStore = cluster.platform.network.addFault({
                matches: (...[, call]) =>
                    loadDelay > 0 && call.path.startsWith("/api/rows-get")
                    && (call.path + JSON.stringify(call)).includes("progress"),
                action: "refuse",
            });
            await time.advanceUntil(() => cluster.holder() !== holder, 10_000, 10);
            await time.advance(loadDelay);
            healStore();
            await time.advance(20_000);
            reconnect();
            await time.advance(5_000);
            expect(findBreach(cluster.platform.journal.events)).toBeUndefined();
            expect([...cluster.platform.workers.keys()].flatMap(runningOf)).toHaveLength(tasks);
        },
    );
});
