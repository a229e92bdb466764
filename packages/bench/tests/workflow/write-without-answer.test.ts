import { findBreach, isWriteCall } from "@jayfront/platform-stand-in";
import type { JobId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { startTwoCells } from "./start-two-cells.js";

const job = "00000000000000a1";
/** Milliseconds after which the cluster rules out that an unanswered write is still executed. */
const maxWriteDelay = 13_000;

describe("an unanswered write", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = await startTwoCells(time);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    const hosts = (): string[] => [...cluster.hosts.keys()];
    const rosterOf = (cell: string): string =>
        JSON.stringify(cluster.platform.store.rows("cells").find(row => row.key === "roster" && row.part === cell));

    // Guards against a holder whose roster differs from the stored one: the write that removed a worker was executed,
    // its answer was lost, and the worker came back before the next write.
    it("starts tasks only on workers that the stored roster names", async () => {
        const worker = "w-east-a-0";
        const holder = cluster.holder("east-a/0") ?? "";
        const { platform } = cluster;
        const healCut = platform.network.addFault({
            matches: (...[, call]) => call.address === platform.addressOf(worker),
            action: "cut",
        });
        platform.setWorkerState(worker, undefined);
        const healLoss = platform.network.addFault({
            matches: (...[, call]) => isWriteCall(call) && JSON.stringify(call.body).includes('"key":"roster"'),
            action: "lose-answer",
        });
        await time.advanceUntil(() => !rosterOf("east-a/0").includes(worker), 20_000);
        expect(rosterOf("east-a/0")).not.toContain(worker);
        healCut();
        platform.setWorkerState(worker, "ready");
        await time.advance(1_500);
        healLoss();
        await time.advance(3_000);
        void cluster.submit(holder, job, [{ count: 8, isLasting: true }], { isLasting: true });
        await time.advance(2_000);
        const busy = [...platform.workers.values()].filter(({ running }) => running().length > 0);
        const isInUse = (platform.workers.get(worker)?.running().length ?? 0) > 0;
        const isNamed = rosterOf("east-a/0").includes(worker);
        // The successor can't reach the worker, whose leases have not expired.
        platform.network.addFault({
            matches: (...[, call]) => call.address === platform.addressOf(worker),
            action: "cut",
        });
        cluster.kill(holder);
        await time.advance(5_000);
        expect({ busy: busy.length > 0, wrong: isInUse && !isNamed, breach: findBreach(platform.journal.events) })
            .toEqual({ busy: true, wrong: false, breach: undefined });
    });

    // Guards against a task that starts after the cancellation of its workflow was answered 410, because the holder
    // repeated the write.
    it("does not run a workflow that its submitter cancelled while the write was unanswered", async () => {
        const heal = cluster.platform.network.addFault({
            matches: (...[, call]) => isWriteCall(call) && JSON.stringify(call.body).includes("workflow-index"),
            action: "cut",
        });
        void cluster.submit(hosts()[0] ?? "", job, [{}], { work: 300 });
        await time.advance(4_000);
        const cancel = async (): Promise<string | undefined> => {
            const answer = cluster.hosts.get(hosts()[1] ?? "")?.router.cancel(job as JobId);
            await time.advance(3_000);
            return (await answer)?.kind;
        };
        const whileUnanswered = await cancel();
        heal();
        await time.advance(maxWriteDelay);
        const starts = cluster.platform.journal.events.filter(({ kind }) => kind === "started").length;
        expect({ whileUnanswered, later: await cancel(), starts })
            .toEqual({ whileUnanswered: "unavailable", later: "absent", starts: 0 });
    });

    // Guards against one request that calls an overloaded store tens of times while it refuses, and so keeps it
    // overloaded.
    it("reads a state from the store only a few times while the store refuses", async () => {
        void cluster.submit(hosts()[0] ?? "", job, [{}], { work: 300 });
        await time.advance(3_000);
        const row = cluster.platform.store.rows("workflow-index").find(({ key }) => key === job);
        const killed = cluster.holder(String(row?.value)) ?? "";
        cluster.kill(killed);
        await time.advance(6_000);
        const successor = cluster.holder(String(row?.value)) ?? "";
        let refused = 0;
        cluster.platform.network.addFault({
            matches: (...[, call]) => {
                const isStateRead = call.path.startsWith("/api/rows-get") && call.path.includes(job);
                refused += isStateRead ? 1 : 0;
                return isStateRead;
            },
            action: "refuse",
            status: 429,
        });
        const query = cluster.hosts.get(successor)?.router.state(job as JobId);
        await time.advance(5_000);
        expect({ kind: (await query)?.kind, few: refused <= 8 ? "few" : refused }).toEqual({
            kind: "unavailable",
            few: "few",
        });
    });

    // Guards against a removal that is repeated after its answer was lost, and then removes the index row of a workflow
    // that was submitted again under the same id.
    it("keeps the index row of an id that is submitted again after an unanswered removal of its rows", async () => {
        void cluster.submit(hosts()[0] ?? "", job, [{}], { work: 300 });
        await time.advance(3_000);
        const healLoss = cluster.platform.network.addFault({
            matches: (...[, call]) => {
                const body = JSON.stringify(call.body ?? {});
                return isWriteCall(call) && body.includes('"removals"') && body.includes("workflow-index")
                    && !body.includes('"workflows"');
            },
            action: "lose-answer",
        });
        const hasIndex = (): boolean => cluster.platform.store.rows("workflow-index").some(({ key }) => key === job);
        expect(hasIndex()).toBe(true);
        await time.advanceUntil(() => !hasIndex(), 400_000);
        await time.advance(2_000);
        healLoss();
        const resubmitted = cluster.submit(hosts()[0] ?? "", job, [{ isLasting: true }], { isLasting: true });
        await time.advance(2_000);
        expect((await resubmitted).kind).toBe("accepted");
        expect(hasIndex()).toBe(true);
        await time.advance(20_000);
        expect(hasIndex()).toBe(true);
    });
});
