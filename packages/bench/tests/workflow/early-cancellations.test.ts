import { findBreach } from "@jayfront/platform-stand-in";
import type { JobId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Milliseconds after the acknowledgement of a cancellation in which tasks may still start. */
const cancelTime = 3_000;
/** Milliseconds for which ids stay cancelled at least: twice the retention of the cluster. */
const cancellationRetention = 240_000;
const idOf = (number: number): JobId => number.toString(16).padStart(16, "0") as JobId;

describe("a cancellation that comes before its submission", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts: { "east-a": 2, "east-b": 1 },
            workers: { "east-a": 3, "east-b": 3 },
            cpuOf: () => 1_000,
        });
        await time.advance(3_000);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    const hostAt = (number: number): string => [...cluster.hosts.keys()][number % cluster.hosts.size] ?? "";
    const cancel = (host: string, id: JobId): Promise<string> =>
        cluster.hosts.get(host)?.router.cancel(id).then(({ kind }) => kind) ?? Promise.resolve("down");
    const submit = (host: string, id: JobId): Promise<string> =>
        cluster.submit(host, id, [{ count: 2 }, { count: 2, after: [0] }], { work: 2_200 }).then(({ kind }) => kind);
    const stateAt = (host: string, id: JobId): Promise<string> =>
        cluster.hosts.get(host)?.router.state(id).then(answer => answer.kind === "known" ? answer.value : answer.kind)
            ?? Promise.resolve("down");
    const finish = async <Value>(answer: Promise<Value>, milliseconds: number = 2_000): Promise<Value> => {
        await time.advance(milliseconds);
        return await answer;
    };
    const startsOf = (id: JobId): readonly number[] =>
        cluster.platform.journal.events.filter(event => event.kind === "started" && event.task.startsWith(id))
            .map(({ at }) => at);
    const rowsOf = (table: string): number => cluster.platform.store.rows(table).length;

    // Guards against a job that runs after its cancelling was acknowledged: the host that got its submission stood still
    // and stored it afterwards (review/14).
    it("is acknowledged, and the submission that another host reads later is refused and never runs", async () => {
        expect(await finish(cancel(hostAt(0), idOf(1)))).toBe("absent");
        expect(await finish(submit(hostAt(1), idOf(1)))).toBe("unavailable");
        expect(await finish(submit(hostAt(2), idOf(1)))).toBe("unavailable");
        await time.advance(5_000);
        expect(startsOf(idOf(1))).toEqual([]);
        // A job that no cell has accepted is not shown.
        expect(await finish(stateAt(hostAt(2), idOf(1)))).toBe("absent");
        expect(await finish(cancel(hostAt(1), idOf(1)))).toBe("absent");
    });

    // Guards against the same while a submission is on its way between hosts, or waits for the answer of the store.
    it("lets no task start later than it may, whenever it meets the submission", async () => {
        const numbers = [...Array(40).keys()];
        numbers.forEach(number => void submit(hostAt(number), idOf(100 + number)));
        await time.advance(0);
        const acknowledged = new Map<JobId, number>();
        for (const number of numbers) {
            const id = idOf(100 + number);
            void cancel(hostAt(number + 2), id).then(kind => {
                if (kind === "absent" || kind === "known") {
                    acknowledged.set(id, performance.now());
                }
            });
            await time.advance(1);
        }
        await time.advance(12_000);
        expect(acknowledged.size).toBe(numbers.length);
        for (const [id, at] of acknowledged) {
            expect(startsOf(id).filter(start => start > at + cancelTime)).toEqual([]);
        }
        expect(findBreach(cluster.platform.journal.events)).toBeUndefined();
    });

    it("is kept for the retention, also by the next holder, and removed then", async () => {
        await finish(cancel(hostAt(0), idOf(1)));
        expect([rowsOf("cancellations"), rowsOf("workflow-index")]).toEqual([1, 1]);
        const killed = cluster.holder() ?? "";
        cluster.kill(killed);
        await time.advance(cancellationRetention - 10_000);
        const [first = ""] = [...cluster.hosts.keys()].filter(id => id !== killed);
        expect(await finish(submit(first, idOf(1)))).toBe("unavailable");
        await time.advance(100_000);
        expect([rowsOf("cancellations"), rowsOf("workflow-index")]).toEqual([0, 0]);
        expect(await finish(submit(first, idOf(1)))).toBe("accepted");
    });

    // Guards against callers who send any number of unknown ids, and against a 410 that is not true.
    it("is stored for a bounded number of ids a second, and else answered as unavailable", async () => {
        const answers = await finish(
            Promise.all(Array.from({ length: 400 }, (...[, number]) => cancel(hostAt(0), idOf(1_000 + number)))),
        );
        const absent = answers.filter(kind => kind === "absent").length;
        expect(answers.filter(kind => kind === "unavailable").length).toBe(400 - absent);
        expect(absent).toBe(rowsOf("cancellations"));
        expect(absent).toBeGreaterThanOrEqual(100);
        expect(absent).toBeLessThan(200);
        // Those of accepted workflows are not limited.
        expect(await finish(submit(hostAt(0), idOf(1)))).toBe("accepted");
        expect(await finish(cancel(hostAt(0), idOf(1)))).toBe("known");
    });

    it("is not acknowledged while the store is away", async () => {
        const heal = cluster.platform.network.addFault({
            matches: (...[, call]) => call.address === cluster.platform.storeAddress && call.path === "/api/rows-tx",
            action: "lose-answer",
        });
        expect(await finish(cancel(hostAt(0), idOf(1)), 10_000)).toBe("unavailable");
        heal();
        // The write without an answer has taken effect.
        await time.advance(2_000);
        expect(await finish(submit(hostAt(1), idOf(1)))).toBe("unavailable");
        expect(await finish(cancel(hostAt(1), idOf(1)))).toBe("absent");
    });
});
