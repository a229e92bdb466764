import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const worker = "w-east-a-0";
/** The rack of this worker alone. */
const rack = "r-east-a-0";
/** Milliseconds without a heartbeat after which a worker's entry is removed. */
const entryTimeout = 3_300;
/** Milliseconds of a cut after that. */
const restOfCut = 2_200;
/** Longer than any lease of a worker, in milliseconds. */
const quietTime = 8_000;

describe("a worker that is listed again after it was dropped", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    let jobs: number;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({ hosts: { "east-a": 3 }, workers: { "east-a": 1, "east-b": 1 } });
        jobs = 0;
        await time.advance(3_000);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    const cutOff = (): () => void =>
        cluster.platform.network.addFault({
            matches: (...[, call]) => call.address === cluster.platform.addressOf(worker),
            action: "cut",
        });
    /** Cuts the worker off, also from the store, until its entry is gone and somewhat longer. */
    const dropAndReturn = async (): Promise<void> => {
        const heal = cutOff();
        await time.advance(entryTimeout);
        cluster.platform.setWorkerState(worker, undefined);
        await time.advance(restOfCut);
        heal();
        cluster.platform.setWorkerState(worker, "ready");
        await time.advance(2_000);
    };
    /** Submits a job that only this worker can run. */
    const submit = async (tasks: number, work: number): Promise<string> => {
        jobs += 1;
        const id = `00000000000000a${String(jobs)}`;
        const answer = cluster.submit(cluster.holder() ?? "", id, [{ count: tasks, requiredLabel: rack }], { work });
        await time.advance(100);
        expect((await answer).kind).toBe("accepted");
        return id;
    };
    const stateOf = async (id: string): Promise<unknown> => {
        const [host] = cluster.hosts.values();
        const state = host?.router.state(id as never);
        await time.advance(2_000);
        return await state;
    };

    // Guards against a worker that refuses each call of its new session, which counted its tokens from the first one again
    // (review/8).
    it("gets tasks again if it has seen raised tokens before", async () => {
        await submit(4, 5_000);
        const heal = cutOff();
        // Its starts have no answer, which raises the token.
        await submit(4, 400);
        await time.advance(2_400);
        heal();
        await time.advance(3_000 + quietTime);
        await dropAndReturn();
        const id = await submit(4, 400);
        await time.advance(5_000);
        expect(await stateOf(id)).toEqual({ kind: "known", value: "completed" });
        expect(findBreach(cluster.platform.journal.events)).toBeUndefined();
    });

    // Guards against tasks that stay running after they are done: the ends that were stored were told to the worker's dropped
    // session, and the worker listed the same 500 ends for good (review/10).
    it("forgets the ends that are stored", async () => {
        const first = await submit(2, 100);
        await time.advance(quietTime);
        await dropAndReturn();
        const second = await submit(1_200, 100);
        await time.advance(20_000);
        expect([await stateOf(first), await stateOf(second)]).toEqual([
            { kind: "known", value: "completed" },
            { kind: "known", value: "completed" },
        ]);
        expect(findBreach(cluster.platform.journal.events)).toBeUndefined();
    });
});
