import { findBreach } from "@jayfront/platform-stand-in";
import type { JobId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Milliseconds from the start until the cluster serves requests. */
const warmUp = 3_000;
const idOf = (number: number): string => number.toString(16).padStart(16, "0");

describe("workflows on a cluster of entry hosts", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts: { "east-a": 2, "east-b": 1 },
            workers: { "east-a": 3, "east-b": 3 },
            cpuOf: () => 1_000,
        });
        await time.advance(warmUp);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    const submit = async (
        host: string,
        number: number,
        steps: Parameters<WorkflowCluster["submit"]>[2],
        payload = {},
    ): Promise<string> => {
        const answer = cluster.submit(host, idOf(number), steps, payload);
        await time.advance(100);
        return (await answer).kind;
    };
    const stateOf = async (host: string, number: number): Promise<string> => {
        const query = cluster.hosts.get(host)?.router.state(idOf(number) as JobId);
        await time.advance(2_500);
        const answer = await query;
        return answer?.kind === "known" ? answer.value : String(answer?.kind);
    };
    const otherThan = (host: string | undefined): string => [...cluster.hosts.keys()].find(id => id !== host) ?? "";
    const breach = (): string | undefined => findBreach(cluster.platform.journal.events);
    const startsOf = (number: number): number =>
        cluster.platform.journal.events.filter(event => event.kind === "started" && event.task.startsWith(idOf(number)))
            .length;

    it("makes all hosts ready and gives the cell one holder", () => {
        expect([...cluster.hosts.values()].map(host => host.isReady())).toEqual([true, true, true]);
        expect(cluster.holder()).toBeDefined();
    });

    it("runs steps one after the other, submitted to any host and queried at any other", async () => {
        for (const [number, host] of [...cluster.hosts.keys()].entries()) {
            expect(await submit(host, number, [{ count: 3 }, { count: 2, after: [0] }])).toBe("accepted");
        }
        await time.advance(3_000);
        for (const [number] of [...cluster.hosts.keys()].entries()) {
            expect(await stateOf(otherThan(cluster.holder()), number)).toBe("completed");
            expect(startsOf(number)).toBe(5);
        }
        expect(breach()).toBeUndefined();
    });

    it("treats a workflow that is submitted again as the same one", async () => {
        const [first = "", second = ""] = cluster.hosts.keys();
        expect(await submit(first, 1, [{}])).toBe("accepted");
        expect(await submit(second, 1, [{}])).toBe("accepted");
        await time.advance(2_000);
        expect(startsOf(1)).toBe(1);
        // The same holds after it has ended.
        expect(await submit(second, 1, [{}])).toBe("accepted");
        await time.advance(2_000);
        expect(startsOf(1)).toBe(1);
    });

    it("restarts a failed task, and fails its workflow at the limit of attempts", async () => {
        const host = cluster.holder() ?? "";
        await submit(host, 1, [{}], { failures: 2 });
        await submit(host, 2, [{}], { failures: 3 });
        await time.advance(8_000);
        expect(await stateOf(host, 1)).toBe("completed");
        expect(await stateOf(host, 2)).toBe("failed");
        expect([startsOf(1), startsOf(2)]).toEqual([3, 3]);
    });

    it("stops all tasks of a cancelled workflow, and answers absent for one that never existed", async () => {
        const host = otherThan(cluster.holder());
        await submit(host, 1, [{ count: 2, isLasting: true }], { isLasting: true });
        await time.advance(2_000);
        const cancelled = cluster.hosts.get(host)?.router.cancel(idOf(1) as JobId);
        await time.advance(1_000);
        expect(await cancelled).toEqual({ kind: "known", value: "cancelled" });
        expect([...cluster.platform.workers.values()].flatMap(worker => worker.running())).toEqual([]);
        expect(await stateOf(host, 1)).toBe("cancelled");
        expect(await stateOf(host, 9)).toBe("absent");
    });

    it("continues after the holder was killed, adopting the running tasks", async () => {
        const killed = cluster.holder() ?? "";
        const host = otherThan(killed);
        await submit(host, 1, [{ count: 4 }], { work: 5_000 });
        await time.advance(1_000);
        cluster.kill(killed);
        const hasNewHolder = await time.advanceUntil(() => cluster.holder() !== killed, 5_000);
        expect(hasNewHolder).toBe(true);
        await time.advance(6_000);
        expect(await stateOf(host, 1)).toBe("completed");
        expect(startsOf(1)).toBe(4);
        expect(breach()).toBeUndefined();
    });

    it("adopts the running tasks after all hosts were killed at once", async () => {
        await submit(cluster.holder() ?? "", 1, [{ count: 4 }], { work: 6_000 });
        await time.advance(500);
        const ids = [...cluster.hosts.keys()];
        ids.forEach(cluster.kill);
        await time.advance(1_500);
        ids.forEach(cluster.start);
        await time.advance(7_000);
        expect(await stateOf(ids[0] ?? "", 1)).toBe("completed");
        expect(startsOf(1)).toBe(4);
        expect(breach()).toBeUndefined();
    });

    it("waits until the leases of a worker that is cut off expire before its tasks run elsewhere", async () => {
        await submit(cluster.holder() ?? "", 1, [{}], { work: 60_000 });
        await time.advance(2_000);
        const [worker] = [...cluster.platform.workers.values()].filter(candidate => candidate.running().length > 0);
        const address = cluster.platform.addressOf(worker?.id ?? "");
        cluster.platform.network.addFault({ matches: (...[, call]) => call.address === address, action: "cut" });
        await time.advance(4_000);
        expect(startsOf(1)).toBe(1);
        const hasRestarted = await time.advanceUntil(() => startsOf(1) === 2, 12_000);
        expect(hasRestarted).toBe(true);
        expect(breach()).toBeUndefined();
    });

    it("starts the tasks of a restarted worker elsewhere at once", async () => {
        await submit(cluster.holder() ?? "", 1, [{}], { work: 20_000 });
        await time.advance(2_000);
        const [worker] = [...cluster.platform.workers.values()].filter(candidate => candidate.running().length > 0);
        worker?.restart();
        expect(await time.advanceUntil(() => startsOf(1) === 2, 3_000)).toBe(true);
        expect(breach()).toBeUndefined();
    });

    it("resolves the outcome of an unanswered start before the task runs elsewhere", async () => {
        const heal = cluster.platform.network.addFault({
            matches: (...[, call]) => call.path === "/api/run-start",
            action: "late",
            delay: 5_000,
        });
        await submit(cluster.holder() ?? "", 1, [{}], { work: 2_000 });
        await time.advance(500);
        heal();
        await time.advance(15_000);
        expect(await stateOf(cluster.holder() ?? "", 1)).toBe("completed");
        expect(breach()).toBeUndefined();
    });

    it("loses no end of a run and runs nothing twice when writes to the store are executed late", async () => {
        const heal = cluster.platform.network.addFault({
            matches: (...[, call]) => call.path === "/api/rows-tx",
            action: "late",
            delay: 2_500,
        });
        const host = otherThan(cluster.holder());
        const answer = cluster.submit(host, idOf(1), [{ count: 3 }, { after: [0] }]);
        await time.advance(4_000);
        heal();
        await time.advance(4_000);
        const { kind } = await answer;
        expect(["accepted", "unknown"]).toContain(kind);
        const resubmitted = await submit(host, 1, [{ count: 3 }, { after: [0] }]);
        expect(resubmitted).toBe("accepted");
        await time.advance(6_000);
        expect(await stateOf(host, 1)).toBe("completed");
        expect(startsOf(1)).toBe(4);
        expect(breach()).toBeUndefined();
    });

    it("moves the cell to another host when only its holder can't reach the store", async () => {
        const cutOffHost = cluster.holder() ?? "";
        await submit(cutOffHost, 1, [{}], { work: 9_000 });
        cluster.platform.network.addFault({
            matches: (from, call) => from === cutOffHost && call.address === cluster.platform.storeAddress,
            action: "refuse",
        });
        expect(await time.advanceUntil(() => cluster.holder() !== cutOffHost, 4_000)).toBe(true);
        await time.advance(10_000);
        expect(startsOf(1)).toBe(1);
        expect(await stateOf(otherThan(cutOffHost), 1)).toBe("completed");
        expect(breach()).toBeUndefined();
    });

    it("continues accepted workflows while no host reaches the store", async () => {
        const host = cluster.holder() ?? "";
        await submit(host, 1, [{ count: 2 }], { work: 2_000 });
        await time.advance(500);
        const heal = cluster.platform.network.addFault({
            matches: (...[, call]) => call.address === cluster.platform.storeAddress,
            action: "cut",
        });
        await time.advance(4_000);
        heal();
        await time.advance(4_000);
        expect(await stateOf(host, 1)).toBe("completed");
        expect(startsOf(1)).toBe(2);
    });

    it("starts nothing on a draining worker", async () => {
        for (const id of cluster.platform.workers.keys()) {
            if (id !== "w-east-a-0") {
                cluster.platform.setWorkerState(id, "draining");
            }
        }
        await time.advance(1_500);
        await submit(cluster.holder() ?? "", 1, [{ count: 8 }]);
        await time.advance(2_000);
        const workers = cluster.platform.journal.events.filter(event => event.kind === "started").map(event =>
            event.worker
        );
        expect(new Set(workers)).toEqual(new Set(["w-east-a-0"]));
    });

    describe("placement and time of starts", () => {
        const started = (number: number): readonly { worker: string; task: string; run: number; at: number; }[] =>
            cluster.platform.journal.events.flatMap(event =>
                event.kind === "started" && event.task.startsWith(idOf(number))
                    ? [{ worker: event.worker, task: event.task, run: event.run, at: event.at }]
                    : []
            );

        it("starts all members of a gang at once, with one run number", async () => {
            await submit(cluster.holder() ?? "", 1, [{ count: 8, isGang: true }]);
            await time.advance(1_000);
            const members = started(1);
            expect(members).toHaveLength(8);
            expect(new Set(members.map(({ run }) => run)).size).toBe(1);
            const times = members.map(({ at }) => at);
            expect(Math.max(...times) - Math.min(...times)).toBeLessThan(50);
            await time.advance(2_000);
            expect(await stateOf(cluster.holder() ?? "", 1)).toBe("completed");
        });

        it("starts no member of a gang while there is no room for all", async () => {
            // There are 96 cores; one of them is in use for four seconds.
            await submit(cluster.holder() ?? "", 1, [{}], { work: 4_000 });
            await submit(cluster.holder() ?? "", 2, [{ count: 96, isGang: true }]);
            await time.advance(2_500);
            expect(started(2)).toEqual([]);
            await time.advance(3_000);
            expect(started(2)).toHaveLength(96);
        });

        it("starts a gang that needs one rack on one rack", async () => {
            await submit(cluster.holder() ?? "", 1, [{ count: 20, isGang: true, needsOneRack: true }]);
            await time.advance(1_000);
            const domains = new Set(started(1).map(({ worker }) => worker.replace(/-\d+$/u, "")));
            expect([started(1).length, domains.size]).toEqual([20, 1]);
        });

        it("starts at most as many tasks of a step on a worker as the step allows", async () => {
            await submit(cluster.holder() ?? "", 1, [{ count: 8, perWorkerLimit: 1 }], { work: 3_000 });
            await time.advance(2_000);
            expect(new Set(started(1).map(({ worker }) => worker)).size).toBe(6);
            expect(started(1)).toHaveLength(6);
            await time.advance(3_000);
            expect(started(1)).toHaveLength(8);
        });

        it("starts tasks only on workers with the label that the step requires", async () => {
            await submit(cluster.holder() ?? "", 1, [{ count: 6, requiredLabel: "r-east-b-0" }]);
            await time.advance(1_000);
            expect(started(1)).toHaveLength(6);
            expect(started(1).every(({ worker }) => worker.startsWith("w-east-b"))).toBe(true);
        });

        it("starts each occurrence when it is due, and never earlier", async () => {
            const due = Date.now() + 2_000;
            const schedule = { repetitions: 3, firstDue: due, interval: 1_500 };
            const answer = cluster.submit(cluster.holder() ?? "", idOf(1), [{ count: 2 }], {}, schedule);
            await time.advance(100);
            expect((await answer).kind).toBe("accepted");
            const offset = performance.now() - Date.now();
            await time.advance(8_000);
            const delays = started(1).map(({ task, at }) => {
                const occurrence = Number(task.split(".")[1]);
                return at - offset - due - occurrence * schedule.interval;
            });
            expect(delays).toHaveLength(6);
            expect(Math.min(...delays)).toBeGreaterThanOrEqual(0);
            expect(Math.max(...delays)).toBeLessThan(500);
            expect(await stateOf(cluster.holder() ?? "", 1)).toBe("completed");
        });
    });

    it("removes the rows of workflows that ended long ago, also those of an earlier holder", async () => {
        const rowsOf = (table: string): number => cluster.platform.store.rows(table).length;
        await submit(cluster.holder() ?? "", 1, [{}]);
        await time.advance(2_000);
        const killed = cluster.holder() ?? "";
        cluster.kill(killed);
        await time.advanceUntil(() => cluster.holder() !== killed, 5_000);
        await time.advance(2_000);
        await submit(cluster.holder() ?? "", 2, [{}]);
        await time.advance(2_000);
        expect([rowsOf("settled"), rowsOf("workflow-index")]).toEqual([2, 2]);
        // The state is kept for two minutes, the retention time of the cluster.
        await time.advance(120_000);
        expect(await stateOf(cluster.holder() ?? "", 1)).toBe("completed");
        await time.advance(150_000);
        expect([rowsOf("settled"), rowsOf("workflow-index")]).toEqual([0, 0]);
        expect(await stateOf(cluster.holder() ?? "", 1)).toBe("absent");
    });

    it("removes the row of a host that does not come back, but not within a minute", async () => {
        const killed = otherThan(cluster.holder());
        cluster.kill(killed);
        await time.advance(60_000);
        expect(cluster.platform.store.rows("hosts").map(row => row.key)).toContain(killed);
        await time.advance(600_000);
        expect(cluster.platform.store.rows("hosts").map(row => row.key)).not.toContain(killed);
    });

    it("lets a run continue if only the answer to its start was lost", async () => {
        const heal = cluster.platform.network.addFault({
            matches: (...[, call]) => call.path === "/api/run-start",
            action: "lose-answer",
        });
        await submit(cluster.holder() ?? "", 1, [{ count: 2 }], { work: 4_000 });
        await time.advance(2_500);
        heal();
        await time.advance(3_000);
        expect(await stateOf(cluster.holder() ?? "", 1)).toBe("completed");
        expect(startsOf(1)).toBe(2);
        expect(breach()).toBeUndefined();
    });

    it("moves tasks that can't end in time off a draining worker, and leaves the others there", async () => {
        await submit(cluster.holder() ?? "", 1, [{ count: 6, expectedRunTime: 8_000 }], { work: 8_000 });
        await submit(cluster.holder() ?? "", 2, [{ count: 6, expectedRunTime: 3_000 }], { work: 3_000 });
        await time.advance(1_000);
        cluster.platform.setWorkerState("w-east-a-0", "draining");
        await time.advance(2_400);
        const draining = cluster.platform.workers.get("w-east-a-0");
        expect(draining?.running()).toEqual([]);
        draining?.kill();
        cluster.platform.setWorkerState("w-east-a-0", undefined);
        await time.advance(9_000);
        expect(await stateOf(cluster.holder() ?? "", 1)).toBe("completed");
        expect(startsOf(1)).toBe(7);
        expect(startsOf(2)).toBe(6);
        expect(breach()).toBeUndefined();
    });

    it("moves tasks off a worker where they make no progress, and starts no others there", async () => {
        const stalled = cluster.platform.workers.get("w-east-a-1");
        if (stalled !== undefined) {
            stalled.stallsEverything = true;
        }
        await submit(cluster.holder() ?? "", 1, [{ count: 12 }]);
        await time.advance(8_000);
        expect(await stateOf(cluster.holder() ?? "", 1)).toBe("completed");
        expect(breach()).toBeUndefined();
    });

    // Guards against starts that keep going to the failing worker until tasks reach their limit of attempts.
    it("completes workflows although one worker fails all its tasks", async () => {
        const failing = cluster.platform.workers.get("w-east-b-0");
        if (failing !== undefined) {
            failing.failsEverything = true;
        }
        for (let number = 0; number < 10; number += 1) {
            await submit(cluster.holder() ?? "", number, [{ count: 4 }]);
            await time.advance(300);
        }
        await time.advance(5_000);
        const states: string[] = [];
        for (let number = 0; number < 10; number += 1) {
            states.push(await stateOf(cluster.holder() ?? "", number));
        }
        expect(states).toEqual(Array(10).fill("completed"));
    });

    it("restarts a long-running task within a second of its end, before other work gets the room", async () => {
        await submit(cluster.holder() ?? "", 1, [{ count: 1, isLasting: true, cpu: 16_000 }], { isLasting: true });
        await time.advance(1_000);
        for (let number = 2; number < 30; number += 1) {
            await submit(cluster.holder() ?? "", number, [{ count: 4, cpu: 4_000 }], { work: 700 });
        }
        const [worker] = [...cluster.platform.workers.values()].filter(candidate =>
            candidate.running().some(task => task.startsWith(idOf(1)))
        );
        worker?.restart();
        expect(await time.advanceUntil(() => startsOf(1) === 2, 2_500)).toBe(true);
    });

    it("refuses submissions at once while the store is unreachable, and never runs them", async () => {
        const [first = ""] = cluster.hosts.keys();
        const heal = cluster.platform.network.addFault({
            matches: (...[, call]) => call.address === cluster.platform.storeAddress,
            action: "cut",
        });
        await time.advance(2_000);
        const kinds: string[] = [];
        for (let number = 0; number < 5; number += 1) {
            kinds.push(await submit(first, number, [{}]));
        }
        heal();
        await time.advance(9_000);
        expect(kinds).toEqual(Array(5).fill("unavailable"));
        expect([0, 1, 2, 3, 4].map(startsOf)).toEqual([0, 0, 0, 0, 0]);
    });

    it("gets the outcome of a submission from the next holder after its holder was killed", async () => {
        const killed = cluster.holder() ?? "";
        const host = otherThan(killed);
        const heal = cluster.platform.network.addFault({
            matches: (from, call) => from === killed && call.path === "/api/rows-tx",
            action: "slow",
            delay: 600,
        });
        const answer = cluster.submit(host, idOf(1), [{}]);
        await time.advance(50);
        cluster.kill(killed);
        heal();
        await time.advance(4_000);
        const { kind } = await answer;
        expect(["accepted", "unknown"]).toContain(kind);
        const resubmitted = await submit(host, 1, [{}]);
        expect(resubmitted).toBe("accepted");
        await time.advance(3_000);
        expect(startsOf(1)).toBe(1);
        expect(breach()).toBeUndefined();
    });

    it("has a new holder that starts tasks within 2 s after the old one was killed", async () => {
        const killed = cluster.holder() ?? "";
        const host = otherThan(killed);
        cluster.kill(killed);
        expect(await time.advanceUntil(() => cluster.holder() !== killed, 1_600)).toBe(true);
        await time.advance(200);
        expect(await submit(host, 1, [{}])).toBe("accepted");
        expect(startsOf(1)).toBe(1);
    });
});
