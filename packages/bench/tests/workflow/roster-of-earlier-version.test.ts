import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const job = "00000000000000a1";
const tasks = 2;
const cpu = 4_000;

describe("a roster that an earlier version left as it found it", () => {
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
        await time.advance(4_000);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    const runningOf = (worker: string): readonly string[] =>
        cluster.platform.workers.get(worker)?.running().filter(task => task.startsWith(job)) ?? [];

    // Guards against a second run: a holder of an earlier version grants leases and does not rewrite `leasedFor`.
    it("has no bound of leases that hold under a later holder", async () => {
        const { store, workers, network, journal } = cluster.platform;
        const worker = [...workers.keys()].find(id => runningOf(id).length > 0) ?? "";
        // What 85de212 leaves: the entry of its predecessor, as of a time when nothing ran there; isDraining and capacity as now.
        const wire = JSON.parse(
            await (async () => {
                const answer = await store.handler({
                    method: "GET",
                    path: "/api/rows-get",
                    query: new URLSearchParams({
                        table: "cells",
                        part: store.rows("cells").find(row => row.key === "roster")?.part ?? "",
                    }),
                    body: undefined,
                } as never);
                return JSON.stringify((answer as { body: unknown; }).body);
            })(),
        ) as { rows: { key: string; table: string; part: string; value: string; schemaVersion: number; }[]; };
        const row = wire.rows.find(({ key }) => key === "roster");
        const text = Buffer.from(row?.value ?? "", "base64").toString();
        const groups = JSON.parse(text) as { workers: unknown[][]; }[];
        for (const group of groups) {
            group.workers = group.workers.map(entry => entry[0] === worker ? [...entry.slice(0, 3), null, 0] : entry);
        }
        await store.handler({
            method: "POST",
            path: "/api/rows-tx",
            query: new URLSearchParams(),
            body: {
                expectedRevision: [],
                puts: [{
                    table: row?.table,
                    part: row?.part,
                    key: "roster",
                    value: Buffer.from(JSON.stringify(groups)).toString("base64"),
                }],
                removals: [],
            },
        } as never);
        network.addFault({
            matches: (...[, call]) => call.address === cluster.platform.addressOf(worker),
            action: "cut",
        });
        cluster.kill(cluster.holder() ?? "");
        await time.advance(9_000);
        expect(findBreach(journal.events)).toBeUndefined();
    });
});
