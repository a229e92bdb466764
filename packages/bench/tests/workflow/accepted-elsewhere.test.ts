import { isWriteCall } from "@jayfront/platform-stand-in";
import type { JobId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { startTwoCells } from "./start-two-cells.js";

/** Milliseconds after which a write without answer is done: after the holder's tries, before the next cell's. */
const lateWrite = 1_000;
/** Milliseconds in which a submission has its answer. */
const answerTime = 4_000;
/** Milliseconds in which a workflow of one short task completes, takeovers included. */
const runTime = 8_000;
const job = "00000000000000a1";

describe("a workflow whose write has no answer, with several cells", () => {
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
    const cells = ["east-a/0", "east-b/0"];
    const hosts = (): string[] => [...cluster.hosts.keys()];
    const answered = async <Value>(asked: Promise<Value> | undefined, patience: number): Promise<Value | undefined> => {
        await time.advance(patience);
        return asked;
    };
    const statesAtAllHosts = async (): Promise<string[]> => {
        const asked = [...cluster.hosts.values()].map(host => host.router.state(job as JobId));
        await time.advance(2_500);
        return (await Promise.all(asked)).map(answer => answer.kind === "known" ? answer.value : answer.kind);
    };
    /** Writes that accept a workflow in the cell are done late and not answered; returns what heals that. */
    const delayWritesOf = (cell: string): () => void =>
        cluster.platform.network.addFault({
            matches: (...[, call]) => {
                const body = isWriteCall(call) ? JSON.stringify(call.body) : "";
                return body.includes("workflow-index") && body.includes(cell);
            },
            action: "late",
            delay: lateWrite,
        });

    // Guards against a 410 for an accepted workflow: another cell had answered for it, and the holder of its own never
    // learned that its late write had been done.
    it.each(cells)(
        "runs and is known everywhere after another cell was offered it, late in %s",
        async cell => {
            const heal = delayWritesOf(cell);
            const submitted = cluster.submit(hosts()[0] ?? "", job, [{}], { work: 300 });
            const answer = await answered(submitted, answerTime);
            heal();
            await time.advance(runTime);
            expect(answer?.kind).toBe("accepted");
            expect(await statesAtAllHosts()).toEqual(hosts().map(() => "completed"));
        },
    );

    // Guards against a write without answer that is forgotten once its submitter has gone: the workflow stands in the
    // store and nobody runs it.
    it("runs although the holder's last answer to its submitter was that the outcome is unknown", async () => {
        const heals = cells.map(delayWritesOf);
        void cluster.submit(hosts()[0] ?? "", job, [{}], { work: 300 });
        await time.advance(answerTime);
        heals.forEach(heal => {
            heal();
        });
        await time.advance(runTime);
        expect(await statesAtAllHosts()).toEqual(hosts().map(() => "completed"));
    });

    // Guards against a 410 told from the memory of a holder that was deposed while it was cut off.
    it.each(cells)("is not called absent by a deposed holder of %s that doesn't know it", async cell => {
        const deposed = cluster.holder(cell) ?? "";
        const heal = cluster.isolate(deposed);
        await time.advance(4_000);
        const other = hosts().find(host => host !== deposed && host === cluster.holder(cell));
        expect(other).toBeDefined();
        const submitted = cluster.submit(other ?? "", job, [{}], { work: 3_000 });
        expect((await answered(submitted, 200))?.kind).toBe("accepted");
        heal();
        const states: string[] = [];
        for (let tries = 0; tries < 10; tries += 1) {
            const asked = cluster.hosts.get(deposed)?.router.state(job as JobId);
            void asked?.then(state => states.push(state.kind));
            await time.advance(50);
        }
        await time.advance(2_500);
        expect(states).toHaveLength(10);
        expect(states).not.toContain("absent");
    });
});
