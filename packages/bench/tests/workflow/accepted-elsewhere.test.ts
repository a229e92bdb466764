import { isWriteCall } from "@jayfront/platform-stand-in";
import type { JobId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { startTwoCells } from "./start-two-cells.js";

/** Milliseconds after which an unanswered write is executed: after the holder's retries, before the next cell's. */
const writeDelay = 1_000;
/** Milliseconds within which a submission is answered. */
const answerTime = 4_000;
/** Milliseconds within which a workflow of one short task completes, takeovers included. */
const completionTime = 8_000;
const job = "00000000000000a1";

describe("a workflow whose write is not answered, with several cells", () => {
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
    const answerWithin = async <Value>(
        answer: Promise<Value> | undefined,
        duration: number,
    ): Promise<Value | undefined> => {
        await time.advance(duration);
        return answer;
    };
    const statesAtAllHosts = async (): Promise<string[]> => {
        const queries = [...cluster.hosts.values()].map(host => host.router.state(job as JobId));
        await time.advance(2_500);
        return (await Promise.all(queries)).map(answer => answer.kind === "known" ? answer.value : answer.kind);
    };
    /** Executes writes that accept a workflow in the cell late and without an answer; returns what heals the fault. */
    const delayWritesOf = (cell: string): () => void =>
        cluster.platform.network.addFault({
            matches: (...[, call]) => {
                const body = isWriteCall(call) ? JSON.stringify(call.body) : "";
                return body.includes("workflow-index") && body.includes(cell);
            },
            action: "late",
            delay: writeDelay,
        });

    // Guards against a 410 for an accepted workflow: another cell answered the submission, and the holder of the
    // workflow's own cell never learned that its late write had been executed.
    it.each(cells)(
        "runs and is known everywhere after it was also offered to another cell (late writes in %s)",
        async cell => {
            const heal = delayWritesOf(cell);
            const submitted = cluster.submit(hosts()[0] ?? "", job, [{}], { work: 300 });
            const answer = await answerWithin(submitted, answerTime);
            heal();
            await time.advance(completionTime);
            expect(answer?.kind).toBe("accepted");
            expect(await statesAtAllHosts()).toEqual(hosts().map(() => "completed"));
        },
    );

    // Guards against a holder that forgets an unanswered write once its submitter has gone: the workflow is stored, but
    // nobody runs it.
    it("runs although the last answer to its submitter was that the outcome is unknown", async () => {
        const heals = cells.map(delayWritesOf);
        void cluster.submit(hosts()[0] ?? "", job, [{}], { work: 300 });
        await time.advance(answerTime);
        heals.forEach(heal => {
            heal();
        });
        await time.advance(completionTime);
        expect(await statesAtAllHosts()).toEqual(hosts().map(() => "completed"));
    });

    // Guards against a 410 from a holder that was deposed while it was cut off, and answers from its memory.
    it.each(cells)("is not answered absent by a deposed holder of %s that does not know it", async cell => {
        const deposed = cluster.holder(cell) ?? "";
        const heal = cluster.isolate(deposed);
        await time.advance(4_000);
        const successor = hosts().find(host => host !== deposed && host === cluster.holder(cell));
        expect(successor).toBeDefined();
        const submitted = cluster.submit(successor ?? "", job, [{}], { work: 3_000 });
        expect((await answerWithin(submitted, 200))?.kind).toBe("accepted");
        heal();
        const states: string[] = [];
        for (let queries = 0; queries < 10; queries += 1) {
            const query = cluster.hosts.get(deposed)?.router.state(job as JobId);
            void query?.then(state => states.push(state.kind));
            await time.advance(50);
        }
        await time.advance(2_500);
        expect(states).toHaveLength(10);
        expect(states).not.toContain("absent");
    });
});
