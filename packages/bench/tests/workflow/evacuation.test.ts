import type { NetworkCall } from "@jayfront/platform-stand-in";
import { findBreach, findLateStart } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Milliseconds after a request from which nothing may start in its failure domain. */
const evacuationTime = 5_000;
/** Milliseconds until the cells have holders that have loaded their state. */
const warmUp = 4_000;
/** Milliseconds for which a request stands in most cases. */
const evacuatedFor = 12_000;
/** Milliseconds within which a domain is in use again after the removal of its request. */
const returnTime = 2_500;
const submissionInterval = 200;

describe("a failure domain that is to be evacuated", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    let submitted = 0;
    const startCluster = async (options: Partial<Parameters<typeof createWorkflowCluster>[0]> = {}): Promise<void> => {
        cluster = createWorkflowCluster({
            hosts: { "east-a": 2, "east-b": 2 },
            workers: { "east-a": 3, "east-b": 3 },
            cpuOf: () => 1_000,
            evacuationTime,
            ...options,
        });
        await time.advance(warmUp);
    };
    beforeEach(() => {
        time = installFakeTime();
        submitted = 0;
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    const submit = (): ReturnType<WorkflowCluster["submit"]> => {
        submitted += 1;
        const [host = ""] = cluster.hosts.keys();
        return cluster.submit(host, submitted.toString(16).padStart(16, "0"), [{ count: 4, cpu: 1_000 }], {
            work: 400,
        });
    };
    /** Lets time pass while work is submitted. */
    const passWithWork = async (duration: number): Promise<void> => {
        for (let passed = 0; passed < duration; passed += submissionInterval) {
            void submit();
            await time.advance(submissionInterval);
        }
    };
    const startsIn = (domain: string, from: number): number =>
        cluster.platform.journal.events.filter(event =>
            event.kind === "started" && event.failureDomain === domain && event.at >= from
        ).length;
    const expectNoLateStart = (): void => {
        expect(findLateStart(cluster.platform.journal, evacuationTime)).toBeUndefined();
        expect(findBreach(cluster.platform.journal.events)).toBeUndefined();
    };
    const isEvacuationRead = ({ path }: NetworkCall): boolean => path.includes("from=evacuate");

    // Guards against starts in a domain that is to be evacuated, and against one that stays out of use for good.
    it("gets no starts until the request is removed, and then gets them again", async () => {
        await startCluster();
        await passWithWork(1_000);
        const requestedAt = time.now();
        const withdraw = cluster.platform.evacuate("east-a");
        await passWithWork(evacuatedFor);
        expectNoLateStart();
        expect(startsIn("east-b", requestedAt + evacuationTime)).toBeGreaterThan(50);
        withdraw();
        const removedAt = time.now();
        await passWithWork(returnTime);
        expect(startsIn("east-a", removedAt)).toBeGreaterThan(0);
    });

    // Guards against holders that learn of a request only if they were there when it was made.
    it.each<[string, () => void]>([
        ["its cell is taken over", () => {
            cluster.kill(cluster.holder() ?? "");
        }],
        ["all hosts start again", () => {
            const hosts = [...cluster.hosts.keys()];
            hosts.forEach(cluster.kill);
            hosts.forEach(cluster.start);
        }],
    ])("gets no starts though %s in the middle", async (...[, disturb]) => {
        await startCluster();
        await passWithWork(1_000);
        cluster.platform.evacuate("east-a");
        await passWithWork(2_000);
        disturb();
        const disturbedAt = time.now();
        await passWithWork(evacuatedFor);
        expectNoLateStart();
        expect(startsIn("east-b", disturbedAt)).toBeGreaterThan(20);
    });

    // Guards against a holder that goes by what it has read before the store stopped to answer such reads in time.
    it.each(
        [
            ["are not answered", "cut", undefined],
            ["are refused", "refuse", undefined],
            ["take longer than their answers are of use", "slow", 4_500],
            ["take long", "slow", 2_000],
        ] as const,
    )("gets no starts while reads of the requests %s", async (...[, action, delay]) => {
        await startCluster();
        await passWithWork(1_000);
        const heal = cluster.platform.network.addFault({
            matches: (...[, call]) => isEvacuationRead(call),
            action,
            ...(delay === undefined ? {} : { delay }),
        });
        cluster.platform.evacuate("east-a");
        await passWithWork(evacuatedFor);
        expectNoLateStart();
        heal();
        const healedAt = time.now();
        await passWithWork(returnTime);
        expectNoLateStart();
        expect(startsIn("east-b", healedAt)).toBeGreaterThan(0);
    });

    // Guards against starts that were decided before the request was known and have waited for their turn since.
    it("gets no starts that have waited for other ones", async () => {
        const hosts = ["h-east-a-0", "h-east-a-1", "h-east-b-0", "h-east-b-1"];
        await startCluster({
            cpuOf: () => 10,
            processors: Object.fromEntries(hosts.map(host => [host, 0.1])),
        });
        cluster.platform.network.addFault({
            matches: (...[, { path }]) => path === "/api/run-start",
            action: "slow",
            delay: 90,
        });
        const count = 900;
        void cluster.submit(hosts[0] ?? "", "00000000000000a1", [{ count, cpu: 10 }], { work: 20 });
        await time.advance(300);
        cluster.platform.evacuate("east-a");
        await time.advance(2 * evacuatedFor);
        expectNoLateStart();
        expect(startsIn("east-a", 0) + startsIn("east-b", 0)).toBe(count);
    });

    // Guards against work that a cell without any place accepts, and against one request that ends the other.
    it("may be one of two, and submissions without a place are then refused and have not run", async () => {
        await startCluster();
        const withdrawFirst = cluster.platform.evacuate("east-a");
        await time.advance(3_000);
        const withdrawSecond = cluster.platform.evacuate("east-b");
        await time.advance(2_000);
        const askedAt = time.now();
        const answers = [submit(), submit()];
        await time.advance(500);
        for (const answer of await Promise.all(answers)) {
            expect(answer.kind === "unavailable" ? answer.retryAfter : undefined).toBeGreaterThan(0);
        }
        withdrawFirst();
        await time.advance(1_500);
        await passWithWork(6_000);
        withdrawSecond();
        await passWithWork(returnTime);
        expectNoLateStart();
        const ran = cluster.platform.journal.events.map(({ task }) => task.split(".")[0] ?? "");
        expect(ran).not.toContain("0000000000000001");
        expect(ran).not.toContain("0000000000000002");
        expect([startsIn("east-a", askedAt) > 20, startsIn("east-b", askedAt) > 0]).toEqual([true, true]);
    });

    // Guards against work that stays in a cell where nothing starts while another cell has room.
    it("sends new work and lost long-running tasks to other cells, if it is all of its cell", async () => {
        await startCluster({ largestCell: 0 });
        void cluster.submit("h-east-a-0", "00000000000000a1", [{ count: 12, cpu: 1_000, isLasting: true }], {
            isLasting: true,
        });
        await time.advance(3_000);
        cluster.platform.evacuate("east-a");
        await time.advance(2_000);
        const evacuatedAt = time.now();
        const [left = "", tasks = []] = [...cluster.platform.workers]
            .map(([id, worker]) => [id, worker.running()] as const)
            .find(([id, running]) => id.startsWith("w-east-a") && running.length > 0) ?? [];
        expect(tasks.length).toBeGreaterThan(0);
        cluster.platform.crashWorker(left);
        await passWithWork(evacuatedFor);
        expectNoLateStart();
        expect(startsIn("east-a", evacuatedAt)).toBe(0);
        const running = [...cluster.platform.workers.values()].flatMap(worker => worker.running());
        expect(running.filter(task => tasks.includes(task))).toHaveLength(tasks.length);
        // All work but that of the last second has started there.
        const submittedTasks = 4 * (evacuatedFor - 1_000) / submissionInterval;
        expect(startsIn("east-b", evacuatedAt)).toBeGreaterThanOrEqual(submittedTasks + tasks.length);
    });

    // Guards against runs that are stopped, or lose their leases, because of a request that asks only for no starts.
    it("keeps the long-running tasks that run there", async () => {
        await startCluster();
        void cluster.submit("h-east-a-0", "00000000000000a1", [{ count: 12, cpu: 1_000, isLasting: true }], {
            isLasting: true,
        });
        await time.advance(3_000);
        expect(startsIn("east-a", 0)).toBeGreaterThan(0);
        cluster.platform.evacuate("east-a");
        await time.advance(evacuatedFor);
        expect(cluster.platform.journal.events.filter(({ kind }) => kind !== "started")).toEqual([]);
        expectNoLateStart();
    });
});
