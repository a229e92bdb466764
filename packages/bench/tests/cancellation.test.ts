import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { LocalCluster } from "../src/cluster/local-cluster.js";
import { createLocalCluster } from "../src/cluster/local-cluster.js";
import { smallDocument, smallHiddenBehaviour } from "../src/cluster/small-environment.js";
import type { FakeTime } from "../src/util/fake-time.js";
import { installFakeTime } from "../src/util/fake-time.js";

describe("cancelling a job", () => {
    let time: FakeTime;
    let cluster: LocalCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createLocalCluster({
            seed: 4,
            hosts: { "east-a": 2 },
            workers: { "east-a": 4 },
            document: smallDocument,
            hidden: smallHiddenBehaviour,
        });
        await time.advance(6_000);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    const call = async (method: string, path: string, body?: string): Promise<Record<string, unknown>> => {
        const [host] = cluster.runningHosts();
        const sent = host === undefined
            ? undefined
            : cluster.send(host, { method, path, ...(body === undefined ? {} : { body }) });
        await time.advance(100);
        return JSON.parse((await sent)?.body ?? "{}") as Record<string, unknown>;
    };

    it("stops tasks whose start was still in flight, and settles all tasks as cancelled", async () => {
        const body = JSON.stringify({
            team: "bulk",
            batchClass: "path",
            tasks: 60,
            resources: { cores: 1, memory: 1 },
            runTime: 600,
            payload: '{"work":600}',
        });
        const { id } = await call("POST", "/jobs", body) as { id: string; };
        const removeFault = cluster.standIn.faults.add({
            door: "tasks",
            path: "/tasks/start",
            action: "delay",
            delay: 800,
        });
        await time.advance(300);
        await call("POST", `/jobs/${id}/cancel`);
        removeFault();
        await time.advance(20_000);
        const { entries } = cluster.standIn.journal;
        const started = entries.filter(entry => entry.kind === "task-started").length;
        const ended = entries.filter(entry => entry.kind === "task-ended").length;
        expect(started).toBeGreaterThan(0);
        expect(ended).toBe(started);
        expect(await call("GET", `/jobs/${id}`)).toMatchObject({ state: "settled", cancelled: 60 });
    });
});
