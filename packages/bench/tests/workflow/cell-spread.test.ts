import type { JobId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster, WorkflowClusterOptions } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const domains = ["east-a", "east-b", "west-a", "west-b"];
const perDomain = (count: number): Readonly<Record<string, number>> =>
    Object.fromEntries(domains.map(domain => [domain, count]));
/** Milliseconds from the start until the plan of cells is read: the list of workers has to be stable first. */
const planTime = 1_600;
/** Milliseconds from reading the plan within which each cell has to have a holder. */
const firstHolderBound = 2_000;
/** Milliseconds within which the cell of a killed holder has a new one. */
const takeoverBound = 2_500;
/** Workflows that are submitted just after a takeover. */
const submissions = 48;
/** Milliseconds that a worker takes to answer a poll. */
const workerDelay = 50;
/** Milliseconds from a takeover within which other hosts know the capacity of the cell. */
const capacityDelay = 100;
/** Tasks of 4.5 cores that fit on the two workers of a cell. */
const fittingTasks = 6;
/** Milliseconds within which a holder returns one cell to the cell's own domain. */
const returnTime = 12_000;

describe("cells of several failure domains", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster | undefined;
    beforeEach(() => {
        time = installFakeTime();
    });
    afterEach(() => {
        cluster?.stop();
        time.restore();
    });
    const create = async (options: Partial<WorkflowClusterOptions> = {}): Promise<WorkflowCluster> => {
        const created = createWorkflowCluster({
            hosts: perDomain(3),
            workers: perDomain(2),
            largestCell: 0,
            ...options,
        });
        cluster = created;
        await time.advance(planTime + firstHolderBound);
        return created;
    };
    const holders = (of: WorkflowCluster): readonly (string | undefined)[] =>
        domains.map(domain => of.holder(`${domain}/0`));
    const heldCounts = (of: WorkflowCluster): readonly number[] => {
        const held = holders(of);
        return [...new Set(held)].map(host => held.filter(holder => holder === host).length);
    };
    const epochs = (of: WorkflowCluster): readonly unknown[] =>
        of.platform.store.rows("cells").filter(({ key }) => key === "holder")
            .map(({ value }) => (value as { epoch?: number; }).epoch);

    // Guards against one host that takes over all cells at the first start, because no cell has a holder to rank by.
    it("are each held by a host of their own domain from the first start", async () => {
        const created = await create();
        expect(holders(created)).toEqual(domains.map(domain => expect.stringContaining(`h-${domain}-`)));
        expect(epochs(created)).toEqual(domains.map(() => 1));
    });

    // Guards against a holder with too few cores while its domain has a host with more.
    it("are held by the host with the most cores of their domain", async () => {
        const processors = Object.fromEntries(
            domains.flatMap((domain, index) =>
                [0, 1, 2].map(number => [`h-${domain}-${String(number)}`, number === index % 3 ? 1.35 : 0.324])
            ),
        );
        const created = await create({ processors });
        expect(holders(created)).toEqual(domains.map((domain, index) => `h-${domain}-${String(index % 3)}`));
    });

    // Guards against a whole site that stops when one host is lost.
    it("are lost one at a time with their hosts, and taken over within the domain", async () => {
        const created = await create();
        const before = holders(created);
        created.kill(before[0] ?? "");
        await time.advance(takeoverBound);
        const after = holders(created);
        expect(after.slice(1)).toEqual(before.slice(1));
        expect(after[0]).toContain("h-east-a-");
        expect(after[0]).not.toBe(before[0]);
        expect(epochs(created).filter(epoch => epoch !== 1)).toEqual([2]);
    });

    // Guards against cells that have no holder because their domain has no host.
    it("are spread over other hosts where their domain has none", async () => {
        const created = await create({ hosts: { "east-a": 2, "east-b": 2 } });
        const [eastA, eastB, ...others] = holders(created);
        expect(eastA).toContain("h-east-a-");
        expect(eastB).toContain("h-east-b-");
        expect(others.every(holder => holder !== undefined)).toBe(true);
    });

    // Guards against stopping hosts that hand their cells over to a host with several cells while another has one.
    it("go to the host with the fewest of them when holders stop one after the other", async () => {
        const counts: (readonly number[])[] = [];
        for (const first of domains) {
            for (const second of domains.filter(domain => domain !== first)) {
                const created = await create({ hosts: perDomain(1) });
                void created.hosts.get(`h-${first}-0`)?.drain();
                await time.advance(takeoverBound);
                created.kill(`h-${first}-0`);
                await time.advance(takeoverBound);
                void created.hosts.get(`h-${second}-0`)?.drain();
                await time.advance(takeoverBound);
                counts.push(heldCounts(created));
                created.stop();
                time.restore();
                time = installFakeTime();
            }
        }
        expect(counts).toEqual(counts.map(() => [2, 2]));
    });

    describe("whose domain lost all its hosts", () => {
        const lost = ["h-east-a-0", "h-east-a-1", "h-east-b-0", "h-east-b-1"];
        const lose = async (): Promise<WorkflowCluster> => {
            const created = await create({ hosts: perDomain(2) });
            lost.forEach(created.kill);
            await time.advance(2 * takeoverBound);
            expect(holders(created).filter(holder => holder?.startsWith("h-west-"))).toHaveLength(domains.length);
            return created;
        };

        // Guards against a holder that keeps the cells of other domains for good after an outage.
        it("go back once it has hosts again, and stay there", async () => {
            const created = await lose();
            lost.forEach(created.start);
            await time.advance(2 * returnTime);
            expect(holders(created)).toEqual(
                domains.map(domain => expect.stringContaining(`h-${domain}-`) as unknown),
            );
            const settled = epochs(created);
            await time.advance(5 * returnTime);
            expect(epochs(created)).toEqual(settled);
        });

        // Guards against cells that are handed over to hosts that can't reach the store.
        it("stay where they are while hosts there are cut off", async () => {
            const created = await lose();
            const before = [holders(created), epochs(created)];
            lost.forEach(id => {
                created.start(id);
                created.isolate(id);
            });
            await time.advance(2 * returnTime);
            expect([holders(created), epochs(created)]).toEqual(before);
        });
    });

    // Guards against long-running work that fills some cells for good while another is nearly empty: entry hosts learned
    // the capacity of a new holder's cell only from its next regular heartbeat.
    it("get their shares of the work that arrives just after a takeover", async () => {
        const created = await create({ workers: perDomain(3), hosts: perDomain(4) });
        created.platform.network.addFault({
            matches: (...[, call]) => call.path === "/api/hold",
            action: "slow",
            delay: workerDelay,
        });
        const killed = holders(created)[0] ?? "";
        created.kill(killed);
        await time.advanceUntil(() => holders(created)[0] !== killed, takeoverBound);
        await time.advance(capacityDelay);
        const hosts = [...created.hosts.keys()];
        for (let number = 0; number < submissions; number += 1) {
            const id = number.toString(16).padStart(16, "0");
            void created.submit(hosts[number % hosts.length] ?? "", id, [{ cpu: 1_000, isLasting: true }], {
                isLasting: true,
            });
            await time.advance(2);
        }
        await time.advance(2_000);
        const perCell = domains.map(domain =>
            created.platform.store.rows("workflows").filter(({ part }) => part === `${domain}/0`).length
        );
        const evenShare = submissions / domains.length;
        expect(Math.min(...perCell)).toBeGreaterThanOrEqual(evenShare / 2);
    });

    // Guards against long-running tasks that wait for good in a cell while others have room: a holder that was offered
    // several workflows at once checked the room for each as if it had not accepted the others yet.
    it("accept no more long-running work than fits when much of it arrives at the same moment", async () => {
        const created = await create();
        const hosts = [...created.hosts.keys()];
        for (let number = 0; number < 20; number += 1) {
            const id = number.toString(16).padStart(16, "0");
            void created.submit(hosts[number % hosts.length] ?? "", id, [{ cpu: 4_500, isLasting: true }], {
                isLasting: true,
            });
        }
        await time.advance(2_000);
        const perCell = domains.map(domain =>
            created.platform.store.rows("workflows").filter(({ part }) => part === `${domain}/0`).length
        );
        expect(perCell.reduce((sum, count) => sum + count, 0)).toBe(20);
        expect(Math.max(...perCell)).toBeLessThanOrEqual(fittingTasks);
    });

    // Guards against urgent short-lived work that waits in a cell where no worker has room for one of its tasks, while
    // another cell has such a worker: entry hosts know only the sums of the free CPU.
    it("take short-lived work only if they can start it, as long as one of them can", async () => {
        const created = await create();
        const host = [...created.hosts.keys()][0] ?? "";
        for (let number = 0; number < 6; number += 1) {
            const id = number.toString(16).padStart(16, "f");
            void created.submit(host, id, [{ cpu: 9_000, isLasting: true }], { isLasting: true });
            await time.advance(500);
        }
        const ids = [...Array(16).keys()].map(number => number.toString(16).padStart(16, "0"));
        for (const id of ids) {
            void created.submit(host, id, [{ cpu: 10_000 }], { work: 200 });
            await time.advance(500);
        }
        const states = ids.map(async id => await created.hosts.get(host)?.router.state(id as JobId));
        await time.advance(100);
        expect(await Promise.all(states)).toEqual(ids.map(() => ({ kind: "known", value: "completed" })));
    });

    // Guards against work that waits where nothing of it fits, since no cell has room for all its tasks, while some cell
    // has room for a part.
    it("take work that fits in none of them where the most of it fits", async () => {
        const created = await create();
        const host = [...created.hosts.keys()][0] ?? "";
        for (let number = 0; number < 7; number += 1) {
            const id = number.toString(16).padStart(16, "f");
            void created.submit(host, id, [{ cpu: 9_000, isLasting: true }], { isLasting: true });
            await time.advance(500);
        }
        const steps = [{ cpu: 10_000, count: 3 }];
        const ids = [...Array(8).keys()].map(number => number.toString(16).padStart(16, "0"));
        for (const id of ids) {
            void created.submit(host, id, steps, { work: 100 });
            await time.advance(1_000);
        }
        const lastingId = "a".padStart(16, "0");
        void created.submit(host, lastingId, steps.map(step => ({ ...step, isLasting: true })), { isLasting: true });
        await time.advance(500);
        const states = [...ids, lastingId].map(async id => await created.hosts.get(host)?.router.state(id as JobId));
        await time.advance(100);
        expect((await Promise.all(states)).map(state => state?.kind === "known" ? state.value : undefined))
            .toEqual([...ids.map(() => "completed"), "running"]);
    });

    // Guards against hosts that exchange their cells when all of them restart.
    it("are taken back by their holders when all hosts restart", async () => {
        const created = await create();
        const before = holders(created);
        const ids = [...created.hosts.keys()];
        ids.forEach(created.kill);
        await time.advance(500);
        ids.forEach(created.start);
        await time.advance(firstHolderBound);
        expect(holders(created)).toEqual(before);
        expect(epochs(created)).toEqual(domains.map(() => 2));
    });
});

describe("a cell for all failure domains", () => {
    let time: FakeTime;
    beforeEach(() => {
        time = installFakeTime();
    });
    afterEach(() => {
        time.restore();
    });

    // Guards against a first holder with few cores: the host that read the plan first took the cell.
    it("is first held by the host with the most cores", async () => {
        const cluster = createWorkflowCluster({
            hosts: perDomain(2),
            workers: perDomain(2),
            processors: { "h-west-b-1": 1.35 },
        });
        await time.advance(planTime + firstHolderBound);
        expect(cluster.holder()).toBe("h-west-b-1");
        cluster.stop();
    });
});
