import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { LocalCluster } from "../src/cluster/local-cluster.js";
import { createLocalCluster, localToken } from "../src/cluster/local-cluster.js";
import { smallDocument, smallHiddenBehaviour } from "../src/cluster/small-environment.js";
import type { FakeTime } from "../src/util/fake-time.js";
import { installFakeTime } from "../src/util/fake-time.js";

describe("explaining a job", () => {
    let time: FakeTime;
    let cluster: LocalCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createLocalCluster({
            seed: 6,
            hosts: { "east-a": 3, "west-a": 3 },
            workers: { "east-a": 3, "west-a": 3 },
            document: smallDocument,
            hidden: smallHiddenBehaviour,
        });
        await time.advance(6_000);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    it("reports the chunks of all holders, also in other failure domains", async () => {
        const body = JSON.stringify({
            team: "bulk",
            batchClass: "path",
            tasks: 400,
            resources: { cores: 4, memory: 1 },
            runTime: 600,
            payload: '{"work":600}',
        });
        const call = async (method: string, path: string, text = ""): Promise<Record<string, unknown>> => {
            const [host] = cluster.runningHosts();
            const headers = { authorization: `Bearer ${localToken}` };
            const sent = host === undefined ? undefined : cluster.send(host, { method, path, headers, body: text });
            await time.advance(2_000);
            return JSON.parse((await sent)?.body ?? "{}") as Record<string, unknown>;
        };
        const { id } = await call("POST", "/jobs", body) as { id: string; };
        const { lines } = await call("GET", `/operator/jobs/${id}/explain`) as { lines: string[]; };
        const chunks = lines.filter(line => line.startsWith("chunk"));
        expect(chunks.every(line => line.includes("active") && line.includes("tasks wait"))).toBe(true);
        expect(new Set(chunks.map(line => / in ([a-z]+)-a/.exec(line)?.[1]))).toEqual(new Set(["east", "west"]));
        expect(lines.filter(line => line.startsWith("cell"))).toEqual([]);
    });
});
