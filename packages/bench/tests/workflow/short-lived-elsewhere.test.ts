import { findBreach, isWriteCall } from "@jayfront/platform-stand-in";
import type { JobId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Milliseconds until both cells have a holder that has loaded the cell's state. */
const warmUp = 6_000;
/** Milliseconds within which the holders and the entry hosts know that workers drain, or no longer do. */
const listingDelay = 3_000;
/** Milliseconds within which a workflow has to have a run, wherever there is room. */
const startBound = 3_000;
/** Milliseconds within which the cell of a killed holder has a new one that knows its workers. */
const takeoverBound = 2_500;
/** Milliseconds after which an order or a write without an answer is not carried out any more. */
const lateTime = 12_000;
/** Milliseconds in which everything is over that could still happen to a workflow. */
const settlingTime = 15_000;
const [fullDomain, emptyDomain] = ["east-a", "east-b"] as const;
const workersPerDomain = 4;
const tasksPerWorker = 4;
const cellSize = workersPerDomain * tasksPerWorker;
const job = "00000000000000a1";
const taskCount = 8;
const tasks = [...Array(taskCount).keys()].map(index => `${job}.0.0.${String(index)}`);

describe("a short-lived workflow that has no room in its cell", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    /** Whether the full cell has asked the other one for room. */
    let hasAsked = false;
    const startCluster = async (): Promise<void> => {
        time = installFakeTime();
        hasAsked = false;
        cluster = createWorkflowCluster({
            hosts: { [fullDomain]: 2, [emptyDomain]: 2 },
            workers: { [fullDomain]: workersPerDomain, [emptyDomain]: workersPerDomain },
            cpu: tasksPerWorker * 1_000,
            cpuOf: () => 1_000,
            largestCell: 0,
            onPeerCall: (...[, kind]) => {
                hasAsked ||= kind === "workflow-room";
            },
        });
        await time.advance(warmUp);
    };
    const stopCluster = (): void => {
        cluster.stop();
        time.restore();
        expect(findBreach(cluster.platform.journal.events)).toBeUndefined();
    };
    beforeEach(startCluster);
    afterEach(stopCluster);

    const workersOf = (domain: string): readonly string[] =>
        [...Array(workersPerDomain).keys()].map(number => `w-${domain}-${String(number)}`);
    const runningIn = (domain: string): readonly string[] =>
        workersOf(domain).flatMap(worker => cluster.platform.workers.get(worker)?.running() ?? []);
    const startsOf = (task: string): number =>
        cluster.platform.journal.events.filter(event => event.kind === "started" && event.task === task).length;
    const setStates = (domain: string, state: "ready" | "draining"): void => {
        workersOf(domain).forEach(worker => {
            cluster.platform.setWorkerState(worker, state);
        });
    };
    const submit = (id: string, count: number, isLasting: boolean, payload: object): void => {
        const [host = ""] = cluster.hosts.keys();
        const step = { count, isLasting, preferredRack: `r-${fullDomain}-0` };
        void cluster.submit(host, id, [step], { isLasting, ...payload });
    };
    const statesAtAllHosts = async (): Promise<readonly string[]> => {
        const queries = [...cluster.hosts.values()].map(host => host.router.state(job as JobId));
        await time.advance(2_500);
        return (await Promise.all(queries)).map(answer => answer.kind === "known" ? answer.value : answer.kind);
    };
    /** The workflow waits in a cell that long-running tasks fill, while the other one has no usable worker. */
    const waitInFullCell = async (payload: object = { work: 1_000 }): Promise<void> => {
        setStates(emptyDomain, "draining");
        await time.advance(listingDelay);
        submit("00000000000000f1", cellSize, true, {});
        await time.advanceUntil(() => runningIn(fullDomain).length === cellSize, 8_000);
        submit(job, taskCount, false, payload);
        await time.advance(500);
        // Makes sure of the scene.
        expect(runningIn(fullDomain).length).toBe(cellSize);
        expect(await statesAtAllHosts()).toEqual(["queued", "queued", "queued", "queued"]);
    };
    const hasStarted = (): boolean => tasks.some(task => startsOf(task) > 0);
    const completesOnce = async (details: object): Promise<void> => {
        await time.advance(settlingTime);
        const states = new Set(await statesAtAllHosts());
        expect({ ...details, starts: tasks.map(startsOf), states: [...states] })
            .toEqual({ ...details, starts: tasks.map(() => 1), states: ["completed"] });
    };
    /** Runs a test for each of several moments from the request for room to the first runs, each in a new cluster. */
    const atSeveralMoments = async (check: (delay: number) => Promise<void>): Promise<void> => {
        for (const delay of [0, 5, 10, 13, 16, 19, 22, 25, 30, 36, 42, 50, 70, 110, 400]) {
            await waitInFullCell();
            setStates(emptyDomain, "ready");
            expect(await time.advanceUntil(() => hasAsked, listingDelay, 1)).toBe(true);
            await time.advance(delay);
            await check(delay);
            stopCluster();
            await startCluster();
        }
    };
    const killHolderOf = (domain: string): void => {
        const host = cluster.holder(`${domain}/0`) ?? "";
        cluster.kill(host);
        setTimeout(() => {
            cluster.start(host);
        }, takeoverBound);
    };

    // Guards against an accepted workflow that never runs while another cell has room for all of it.
    it("runs elsewhere in time", async () => {
        await waitInFullCell();
        setStates(emptyDomain, "ready");
        await time.advanceUntil(hasStarted, listingDelay + startBound);
        expect(hasStarted()).toBe(true);
        await completesOnce({});
    });

    // Guards against a move that is forgotten or made twice by the successor of the holder that makes it or gets it.
    it.each([fullDomain, emptyDomain])("runs once although the holder of %s was killed", async domain => {
        await atSeveralMoments(async delay => {
            killHolderOf(domain);
            await time.advanceUntil(hasStarted, listingDelay + startBound + takeoverBound);
            expect({ delay, hasStarted: hasStarted() }).toEqual({ delay, hasStarted: true });
            await completesOnce({ delay });
        });
    });

    // Guards against a workflow that both cells run, or none, after the write that moves it got no answer.
    it.each(["late", "lose-answer"] as const)(
        "runs once although the write that moves it is answered %s",
        async action => {
            for (const delay of [300, 1_000, 4_000]) {
                await waitInFullCell();
                const heal = cluster.platform.network.addFault({
                    matches: (...[, call]) => isWriteCall(call) && JSON.stringify(call.body).includes("moved-"),
                    action,
                    delay,
                });
                setStates(emptyDomain, "ready");
                await time.advance(listingDelay + startBound);
                heal();
                await time.advance(lateTime);
                await completesOnce({ action, delay });
                stopCluster();
                await startCluster();
            }
        },
    );

    // Guards against a run that nobody stops and a cancellation that nobody carries out: both cells think of the other.
    it("has no run after its cancellation, at any moment", async () => {
        await atSeveralMoments(async delay => {
            const [first, ...others] = [...cluster.hosts.values()];
            const answer = await Promise.race([
                first?.router.cancel(job as JobId),
                time.advance(1_500).then(() => ({ kind: "none" })),
            ]);
            expect({ delay, answer: answer?.kind, hosts: others.length }).toEqual({ delay, answer: "known", hosts: 3 });
            await time.advance(1_000);
            const starts = tasks.map(startsOf);
            await time.advance(settlingTime);
            const states = [...new Set(await statesAtAllHosts())];
            expect({ delay, starts: tasks.map(startsOf), states }).toEqual({
                delay,
                starts,
                states: [expect.any(String)],
            });
            expect(["cancelled", "completed"]).toContain(states[0]);
            expect(runningIn(emptyDomain)).toEqual([]);
        });
    });

    // Guards against more attempts than the queue allows: the other cell does not count those of the first one.
    it("has all of its failed runs counted", async () => {
        setStates(emptyDomain, "draining");
        await time.advance(listingDelay);
        submit("00000000000000f1", cellSize - 1, true, {});
        await time.advanceUntil(() => runningIn(fullDomain).length === cellSize - 1, 8_000);
        submit(job, 1, false, { work: 6_000, failures: 99 });
        await time.advanceUntil(hasStarted, startBound);
        const worker = workersOf(fullDomain).find(id =>
            cluster.platform.workers.get(id)?.running().includes(tasks[0] ?? "") === true
        );
        await time.advance(4_500);
        cluster.platform.setWorkerState(worker ?? "", "draining");
        setStates(emptyDomain, "ready");
        await time.advance(settlingTime + 2 * 6_000);
        const { events } = cluster.platform.journal;
        const ran = events.flatMap(event => event.kind === "started" && event.task === tasks[0] ? [event] : []);
        const ends = events.filter(event =>
            event.kind === "ended" && event.task === tasks[0] && event.how === "failed"
        );
        expect(new Set(ran.map(event => event.run)).size).toBe(ran.length);
        expect(ran.some(event => workersOf(emptyDomain).includes(event.worker))).toBe(true);
        expect({ failed: ends.length, states: [...new Set(await statesAtAllHosts())] })
            .toEqual({ failed: 3, states: ["failed"] });
    });

    // Guards against a second run of a task that is done: the other cell's next holder loads a workflow that arrives then.
    it("has no task that is done run again after the other cell's holder was killed", async () => {
        setStates(emptyDomain, "draining");
        await time.advance(listingDelay);
        submit("00000000000000f1", cellSize - 1, true, {});
        await time.advanceUntil(() => runningIn(fullDomain).length === cellSize - 1, 8_000);
        const [host = ""] = cluster.hosts.keys();
        void cluster.submit(host, job, [
            { count: 1, preferredRack: `r-${fullDomain}-0` },
            { count: 2, cpu: 2_000, after: [0] },
        ], { work: 300 });
        await time.advanceUntil(hasStarted, startBound);
        await time.advance(800);
        expect(startsOf(tasks[0] ?? "")).toBe(1);
        let isLoading = false;
        const heal = cluster.platform.network.addFault({
            matches: (...[, call]) => !isLoading && isWriteCall(call) && JSON.stringify(call.body).includes("moved-"),
            action: "refuse",
        });
        let isKilled = false;
        const isReadOf = (path: string, table: string): boolean =>
            path.startsWith("/api/rows-get") && path.includes(`table=${table}&`)
            && decodeURIComponent(path).includes(`part=${emptyDomain}/0`);
        const healRead = cluster.platform.network.addFault({
            matches: (...[, call]) => {
                const isWorkflowRead = isKilled && isReadOf(call.path, "workflows");
                if (isWorkflowRead) {
                    setTimeout(() => {
                        isLoading = true;
                    }, 10);
                }
                return isWorkflowRead && !isLoading;
            },
            action: "slow",
            delay: 350,
        });
        setStates(emptyDomain, "ready");
        expect(await time.advanceUntil(() => hasAsked, listingDelay, 1)).toBe(true);
        await time.advance(30);
        isKilled = true;
        killHolderOf(emptyDomain);
        await time.advanceUntil(() => isLoading, 5_000);
        expect(isLoading).toBe(true);
        await time.advance(1_000);
        heal();
        healRead();
        await time.advance(settlingTime);
        const all = [`${job}.0.0.0`, `${job}.0.1.0`, `${job}.0.1.1`];
        expect({ starts: all.map(startsOf), states: [...new Set(await statesAtAllHosts())] })
            .toEqual({ starts: [1, 1, 1], states: ["completed"] });
    });

    // Guards against a host that answers "running" after another one has answered "completed".
    it("stays completed at all hosts although the write that moves it has no answer", async () => {
        await waitInFullCell({ work: 300 });
        const heal = cluster.platform.network.addFault({
            matches: (...[, call]) => isWriteCall(call) && JSON.stringify(call.body).includes("moved-"),
            action: "lose-answer",
        });
        setStates(emptyDomain, "ready");
        const seen: string[] = [];
        for (let count = 0; count < 120; count += 1) {
            const queries = [...cluster.hosts.values()].map(host => host.router.state(job as JobId));
            await time.advance(100);
            void Promise.all(queries).then(answers => {
                seen.push(answers.map(answer => answer.kind === "known" ? answer.value : answer.kind).join(" "));
            });
        }
        heal();
        await time.advance(settlingTime);
        const first = seen.findIndex(each => each.includes("completed"));
        expect(first).toBeGreaterThan(-1);
        expect(seen.slice(first + 1).filter(each => /queued|running/u.test(each))).toEqual([]);
    });
});
