import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { observeJob, startLongRunningJob } from "./long-running-job.js";

const tasks = 2;

describe("a roster that an earlier version left as it found it", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        ({ time, cluster } = await startLongRunningJob({ tasks, runFor: 4_000 }));
    });
    const { runningOf } = observeJob(() => cluster);
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    // Guards against a second run: a holder of an earlier version grants leases and does not rewrite `leasedFor`.
    it("has no bound of leases that hold under a later holder", async () => {
        const { store, workers, network, journal } = cluster.platform;
        const worker = [...workers.keys()].find(id => runningOf(id).length > 0) ?? "";
        // What 85de212 leaves: the entry of its predecessor, as of a time when nothing ran there; isDraining and capacity as now.
        const answer = await store.handler({
            method: "GET",
            path: "/api/rows-get",
            query: new URLSearchParams({
                table: "cells",
                part: store.rows("cells").find(({ key }) => key === "roster")?.part ?? "",
            }),
            body: undefined,
        } as never);
        const { rows } = (answer as { readonly body: unknown; }).body as {
            readonly rows: readonly {
                readonly key: string;
                readonly table: string;
                readonly part: string;
                readonly value: string;
            }[];
        };
        const row = rows.find(({ key }) => key === "roster");
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
