import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { observeJob, startLongRunningJob } from "./long-running-job.js";

describe("workers that flicker", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    const count = 60;
    const tasks = 100;
    beforeEach(async () => {
        ({ time, cluster } = await startLongRunningJob({ tasks, runFor: 6_000, workers: { "east-a": count } }));
    });
    const { running, workersOfTasks, cutOff } = observeJob(() => cluster);
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    // Guards against workers in contact whose runs lapse, since each write of the roster is refused and none was stored.
    it.each([[0], [6_500], [8_000]])("with roster writes refused for %d ms from the first silence", async refused => {
        const { network, journal } = cluster.platform;
        let refuse = refused > 0;
        network.addFault({
            matches: (...[, call]) => {
                const isRoster = call.path === "/api/rows-tx" && JSON.stringify(call.body).includes('"roster"');
                return isRoster && refuse;
            },
            action: "refuse",
        });
        const ids = workersOfTasks();
        const before = running().length;
        // Each worker is cut off for 3 s, 5 ms after the one before.
        const cut = async (id: string, at: number): Promise<void> => {
            await new Promise(resolve => setTimeout(resolve, at));
            const heal = cutOff(id);
            await new Promise(resolve => setTimeout(resolve, 3_000));
            heal();
        };
        ids.forEach((id, index) => void cut(id, index * 5));
        let least = before;
        for (let elapsed = 0; elapsed < 10_000; elapsed += 100) {
            await time.advance(100);
            refuse = elapsed < refused;
            least = Math.min(least, running().length);
        }
        expect(least).toBe(before);
        expect(findBreach(journal.events)).toBeUndefined();
    });
});
