import { findBreach, isWriteCall } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const job = "00000000000000a1";
const otherJob = "00000000000000a2";
/** Milliseconds after which the unanswered start is carried out; shorter than a lease, or the worker would refuse it. */
const startDelay = 4_000;
/** Milliseconds from a worker's restart to the late start that reaches it. */
const restartLead = 5;

describe("a start that is carried out late by a later incarnation of its worker", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    /** The worker that the first start of the task was sent to, with the monotonic time in ms; undefined before. */
    let lateStart: { readonly worker: string; readonly sentAt: number; } | undefined;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({ hosts: { "east-a": 3 }, workers: { "east-a": 1, "east-b": 1 } });
        lateStart = undefined;
        await time.advance(3_000);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    /** The first violation, and the number of runs of the task that were done. */
    const outcome = (): object => {
        const { events } = cluster.platform.journal;
        return {
            breach: findBreach(events),
            done: events.filter(event => event.kind === "ended" && event.how === "done").length,
        };
    };
    const workers = (): string[] => [...cluster.platform.workers.keys()];
    /** Submits a workflow with one task, the first start of which has no answer and is carried out late. */
    const submitWithLateStart = async (work: number): Promise<void> => {
        const heal = cluster.platform.network.addFault({
            matches: (...[, call]) => {
                const worker = workers().find(id => call.address === cluster.platform.addressOf(id));
                if (call.path !== "/api/run-start" || worker === undefined) {
                    return false;
                }
                lateStart = { worker, sentAt: performance.now() };
                return true;
            },
            action: "late",
            delay: startDelay,
        });
        void cluster.submit(cluster.holder() ?? "", job, [{}], { work });
        await time.advanceUntil(() => lateStart !== undefined, 1_000);
        heal();
    };
    /** Restarts the worker just before the late start reaches it, and lets everything end. */
    const finish = async (): Promise<void> => {
        const { worker = "", sentAt = 0 } = lateStart ?? {};
        await time.advance(sentAt + startDelay - restartLead - performance.now());
        cluster.platform.workers.get(worker)?.restart();
        await time.advance(20_000);
    };

    // Guards against a task that runs in two places (random day 1296): the successor of the holder that had sent the
    // start did not know of it, and started the task on another worker.
    it("does not run beside another run that a successor of its sender has started", async () => {
        const restarted = workers()[0] ?? "";
        cluster.platform.workers.get(restarted)?.restart();
        await time.advance(2_000);
        await submitWithLateStart(6_000);
        await time.advance(1_500);
        cluster.kill(cluster.holder() ?? "");
        // The successor would start the task on another worker.
        cluster.platform.setWorkerState(lateStart?.worker ?? "", "draining");
        await time.advance(2_400);
        cluster.platform.setWorkerState(lateStart?.worker ?? "", "ready");
        await finish();
        expect(outcome()).toEqual({ breach: undefined, done: 1 });
    });

    // Guards against a task that runs again after its end was stored (random day 2495): the holder had taken the cell
    // after a restart of a worker, did not learn of it, and so did not wait until the start could no longer come.
    it("does not run again after the task ended while a restart was known only from the roster", async () => {
        const former = cluster.holder() ?? "";
        cluster.isolate(former);
        await time.advance(100);
        const restarted = workers()[0] ?? "";
        cluster.platform.workers.get(restarted)?.restart();
        await time.advanceUntil(() => cluster.holder() !== former, 10_000);
        await time.advance(1_000);
        await submitWithLateStart(500);
        await finish();
        expect(outcome()).toEqual({ breach: undefined, done: 1 });
    });

    // Guards against a write to the store for each start, or one that is repeated for ever after an unanswered one.
    it("causes writes only while it may be carried out", async () => {
        let writes = 0;
        cluster.platform.network.addFault({
            matches: (...[, call]) => {
                writes += isWriteCall(call) && JSON.stringify(call.body).includes("unanswered-starts") ? 1 : 0;
                return false;
            },
            action: "cut",
        });
        void cluster.submit(cluster.holder() ?? "", otherJob, [{ count: 8 }], { work: 300 });
        await time.advance(2_000);
        const whileAnswered = writes;
        await submitWithLateStart(500);
        await time.advance(15_000);
        const afterLateStart = writes;
        await time.advance(10_000);
        expect({ whileAnswered, afterLateStart: afterLateStart <= 20, later: writes - afterLateStart })
            .toEqual({ whileAnswered: 0, afterLateStart: true, later: 0 });
    });
});
