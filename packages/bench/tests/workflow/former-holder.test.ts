import { afterEach, beforeEach, describe, expect } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createKnownRedTests } from "../known-red-tests.js";

const { test, checkEntries } = await createKnownRedTests(import.meta.url);

const job = "00000000000000a1";
/** Milliseconds until the cell has a holder that has loaded its state. */
const warmUp = 3_000;
/** Milliseconds after which a start counts as unanswered, and some attempts to stop it have failed. */
const unansweredTime = 2_500;
/** Milliseconds within which a holder that does not reach the store hands its cell over, or loses it. */
const handOverTime = 6_000;
/** Milliseconds within which the calls that were under way at the hand-over have ended. */
const settlingTime = 2_000;
/** Milliseconds in which the calls of the former holder are counted. */
const countTime = 5_000;
/** Paths of orders to workers. */
const orderPaths = ["/api/run-start", "/api/run-stop", "/api/hold", "/api/pace"];

describe("a host that has held a cell", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({ hosts: { "east-a": 3 }, workers: { "east-a": 4 } });
        await time.advance(warmUp);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    const isOrder = (path: string): boolean => orderPaths.includes(path);
    /** Has the holder start tasks without an answer, and then hand the cell over; returns the host that held it. */
    const handOverWithUnansweredStarts = async (): Promise<string> => {
        const former = cluster.holder() ?? "";
        const answerOrders = cluster.platform.network.addFault({
            matches: (from, call) =>
                from === former && (call.path === "/api/run-start" || call.path === "/api/run-stop"),
            action: "cut",
        });
        void cluster.submit(former, job, [{ count: 8 }], { work: 60_000 });
        await time.advance(unansweredTime);
        const heal = cluster.platform.network.addFault({
            matches: (from, call) => from === former && call.address === cluster.platform.storeAddress,
            action: "cut",
        });
        await time.advance(handOverTime);
        heal();
        answerOrders();
        await time.advance(settlingTime);
        return former;
    };

    // Guards against a host that stays saturated after it has handed a cell over: it went on to stop each run whose
    // start had no answer, every 300 ms, for ever.
    test("sends no orders for starts without an answer", async () => {
        const former = await handOverWithUnansweredStarts();
        let orders = 0;
        cluster.platform.network.addFault({
            matches: (from, call) => {
                orders += from === former && isOrder(call.path) ? 1 : 0;
                return false;
            },
            action: "cut",
        });
        await time.advance(countTime);
        expect({ hasSuccessor: cluster.holder() !== former, orders }).toEqual({ hasSuccessor: true, orders: 0 });
    });

    checkEntries();
});
