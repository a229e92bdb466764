import { sleep } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import pino from "pino";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Milliseconds that it takes to read the workflows of a cell. */
const loadTime = 3_000;
/** Milliseconds of the test. */
const duration = 15_000;

describe("a cell that takes long to load", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    let logged: string[];
    beforeEach(() => {
        time = installFakeTime();
        logged = [];
        cluster = createWorkflowCluster({
            hosts: { "east-a": 4 },
            workers: { "east-a": 4 },
            logger: pino({}, {
                write: line => {
                    logged.push((JSON.parse(line) as { msg: string; }).msg);
                },
            }),
            plantedFault: {
                store: store => ({
                    ...store,
                    read: async (table, ...others) => {
                        await sleep(table === "workflows" ? loadTime : 0);
                        return store.read(table, ...others);
                    },
                }),
            },
        });
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    // Guards against holders that hand a cell on, each of them as soon as it has loaded it, since loading takes longer
    // than a holder may go without a proof of its lease.
    it("stays with its holder, which the store answers", async () => {
        await time.advance(duration);
        const count = (message: string): number => logged.filter(entry => entry === message).length;
        expect([count("cell taken"), count("cell loaded"), count("cell handed over")]).toEqual([1, 1, 0]);
    });
});
