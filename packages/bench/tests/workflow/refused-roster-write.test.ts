import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const job = "00000000000000a1";
const cpu = 4_000;

describe("workers that flicker", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    const count = 60;
    const tasks = 100;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts: { "east-a": 3 },
            workers: { "east-a": count },
            longestLease: 10_000,
            cpuOf: () => cpu,
        });
        await time.advance(3_000);
        void cluster.submit(cluster.holder() ?? "", job, [{ count: tasks, cpu, isLasting: true }], { isLasting: true });
        await time.advance(6_000);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    const runningOf = (worker: string): readonly string[] =>
        cluster.platform.workers.get(worker)?.running().filter(task => task.startsWith(job)) ?? [];
    const running = (): number =>
        [...cluster.platform.workers.keys()].reduce((sum, worker) => sum + runningOf(worker).length, 0);

    // Guards against workers in contact whose runs lapse, since each write of the roster is refused and none was stored.
    it.each([[0], [6_500], [8_000]])("with roster writes refused for %d ms from the first silence", async refused => {
        const { network, workers, journal } = cluster.platform;
        let refuse = refused > 0;
        network.addFault({
            matches: (...[, call]) => {
                const isRoster = call.path === "/api/rows-tx" && JSON.stringify(call.body).includes('"roster"');
                return isRoster && refuse;
            },
            action: "refuse",
        });
        const ids = [...workers.keys()].filter(id => runningOf(id).length > 0);
        const before = running();
        // Each worker is cut off for 1.5 s, one after another.
        const cut = async (id: string, at: number): Promise<void> => {
            await new Promise(resolve => setTimeout(resolve, at));
            const heal = network.addFault({
                matches: (...[, call]) => call.address === cluster.platform.addressOf(id),
                action: "cut",
            });
            await new Promise(resolve => setTimeout(resolve, 3_000));
            heal();
        };
        ids.forEach((id, index) => void cut(id, index * 5));
        let least = before;
        for (let elapsed = 0; elapsed < 10_000; elapsed += 100) {
            await time.advance(100);
            refuse = elapsed < refused;
            least = Math.min(least, running());
        }
        expect(least).toBe(before);
        expect(findBreach(journal.events)).toBeUndefined();
    });
});
