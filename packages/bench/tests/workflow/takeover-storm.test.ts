import { findBreach } from "@jayfront/platform-stand-in";
import type { CellId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import { installHostTimers } from "../../src/workflow/host-processor.js";
import type { HostWork } from "../../src/workflow/host-work.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** A holder of 160 workers whose tasks may interfere needs more than a core of 0.12 for the polls alone. */
const hostWork: HostWork = { perCall: 0.6, perStoreKilobyte: 0.1, perMessage: 0.2, perStart: 3.3, perTimer: 0.02 };
const smallCores = 0.12;
const largeCores = 2;
const regions = { "east-a": "east", "east-b": "east", "east-c": "east", "east-d": "east" };
const domains = Object.keys(regions);
const hostsPerDomain = 3;
const workersPerDomain = 40;
const hostIds = domains.flatMap(domain =>
    Array.from({ length: hostsPerDomain }, (...[, number]) => `h-${domain}-${String(number)}`)
);

/** Milliseconds until the cell has a holder that knows its workers. */
const warmUp = 8_000;
const workflowCount = 20;
const tasksPerWorkflow = 8;
/** Milliseconds between two submissions, which keep the holder busy while it starts tasks. */
const submissionInterval = 400;
/** Milliseconds after the last submission until all tasks run. */
const startTime = 12_000;
/** Milliseconds that are observed after the last disturbance. */
const observedTime = 40_000;
/** Milliseconds from the last disturbance within which all long-running tasks run again, and from which they stay. */
const recoveryBound = 15_000;
/** Milliseconds for which all hosts are down together. */
const downTime = 2_000;
/** Milliseconds of a short outage of the store. */
const outage = 3_000;
/** Milliseconds between two moments at which connections close. */
const closeInterval = 730;
/** Milliseconds within which a lost holder that was on time is replaced. */
const takeoverBound = 2_500;
/** Milliseconds within which a lost holder that was late is replaced, so that no lease of a task lapses. */
const lateTakeoverBound = 4_500;
/** Milliseconds after a change of holder within which the former holder stops to call workers; calls in flight end then. */
const formerHolderBound = 2_500;
/** Milliseconds after the last proof of a cell's lease for which its tasks may run. */
const leaseDuration = 5_400;

describe("a cell of small hosts", () => {
    let time: FakeTime;
    let restoreTimers: () => void;
    let cluster: WorkflowCluster;
    beforeEach(() => {
        time = installFakeTime();
        restoreTimers = installHostTimers();
    });
    afterEach(() => {
        cluster.stop();
        restoreTimers();
        time.restore();
    });

    const startCluster = async (cores: number): Promise<void> => {
        cluster = createWorkflowCluster({
            hosts: Object.fromEntries(domains.map(domain => [domain, hostsPerDomain])),
            workers: Object.fromEntries(domains.map(domain => [domain, workersPerDomain])),
            cpuOf: () => 1_000,
            processors: Object.fromEntries(hostIds.map(id => [id, cores])),
            hostWork,
            regions,
            // One cell for all, although the hosts are too small for it.
            largestCell: domains.length * workersPerDomain,
        });
        await time.advance(warmUp);
    };
    /** Submits until a host accepts, as callers do. */
    const submitUntilAccepted = async (number: number): Promise<void> => {
        const id = number.toString(16).padStart(16, "0");
        const steps = [
            { count: tasksPerWorkflow / 2, isLasting: true },
            { count: tasksPerWorkflow / 2, isLasting: true, usesSpareCpu: true },
        ];
        for (let attempt = 0;; attempt += 1) {
            const host = hostIds[(number + attempt) % hostIds.length] ?? "";
            const answer = await cluster.submit(host, id, steps, { isLasting: true });
            if (answer.kind === "accepted") {
                return;
            }
            await sleep(300);
        }
    };
    const submitAll = async (): Promise<void> => {
        const submissions: Promise<void>[] = [];
        for (let number = 1; number <= workflowCount; number += 1) {
            submissions.push(submitUntilAccepted(number));
            await time.advance(submissionInterval);
        }
        await time.advance(startTime);
        await Promise.all(submissions);
    };
    const epoch = (): number => {
        const row = cluster.platform.store.rows("cells").find(({ key }) => key === "holder");
        return (row?.value as { epoch?: number; } | undefined)?.epoch ?? 0;
    };
    const countRunning = (): number =>
        new Set([...cluster.platform.workers.values()].flatMap(worker => worker.running())).size;
    /** Changes of the holder in the observed time, and the smallest number of tasks that ran after the bound. */
    const observe = async (): Promise<{ readonly changes: number; readonly fewestRunning: number; }> => {
        const before = epoch();
        let fewestRunning = Infinity;
        for (let passed = 0; passed < observedTime; passed += 500) {
            await time.advance(500);
            fewestRunning = passed < recoveryBound ? Infinity : Math.min(fewestRunning, countRunning());
        }
        return { changes: epoch() - before, fewestRunning };
    };
    const expectRest = async (mostChanges: number): Promise<void> => {
        const { changes, fewestRunning } = await observe();
        expect(changes).toBeLessThanOrEqual(mostChanges);
        expect(fewestRunning).toBe(workflowCount * tasksPerWorkflow);
        expect(findBreach(cluster.platform.journal.events)).toBeUndefined();
    };
    const cutOffStore = (host: string): () => void => {
        const { network, storeAddress } = cluster.platform;
        return network.addFault({
            matches: (from, { address }) => from === host && address === storeAddress,
            action: "cut",
        });
    };
    /** Milliseconds until the cell has another holder, at most `limit`. */
    const timeToChange = async (limit: number): Promise<number> => {
        const before = epoch();
        const since = time.now();
        await time.advanceUntil(() => epoch() > before, limit);
        return time.now() - since;
    };

    // Guards against a holder that loses its cell since it is late under load, which saturates its successor in turn.
    it("keeps its holder under load", async () => {
        await startCluster(smallCores);
        const before = epoch();
        await submitAll();
        expect([epoch() - before, countRunning()]).toEqual([0, workflowCount * tasksPerWorkflow]);
    });

    // Guards against takeovers without end after a restart of all hosts, during which long-running tasks do not run.
    it("comes to rest after all hosts were down", async () => {
        await startCluster(smallCores);
        await submitAll();
        hostIds.forEach(cluster.kill);
        await time.advance(downTime);
        hostIds.forEach(cluster.start);
        await expectRest(2);
    });

    // Guards against takeovers without end after an outage of the store.
    it("comes to rest after a short outage of the store", async () => {
        await startCluster(smallCores);
        await submitAll();
        const heal = hostIds.map(cutOffStore);
        await time.advance(outage);
        heal.forEach(undo => {
            undo();
        });
        await expectRest(1);
    });

    // Guards against a holder that hands its cell over after an outage, since its own calls of that time still wait for
    // their timeouts when the store already answers others.
    it.each([3_600, 4_200])("keeps its holder through an outage of the store of %d ms", async milliseconds => {
        await startCluster(largeCores);
        await submitAll();
        const before = epoch();
        const heal = hostIds.map(cutOffStore);
        await time.advance(milliseconds);
        heal.forEach(undo => {
            undo();
        });
        await time.advance(leaseDuration);
        expect([epoch() - before, countRunning()]).toEqual([0, workflowCount * tasksPerWorkflow]);
    });

    // Guards against patience with late holders that leaves a cell without one when its holder is really lost.
    it.each([{ cores: largeCores, bound: takeoverBound }, { cores: smallCores, bound: lateTakeoverBound }])(
        "replaces a holder of $cores cores that has lost power within $bound ms",
        async ({ cores, bound }) => {
            await startCluster(cores);
            await submitAll();
            const holder = cluster.holder() ?? "";
            cluster.isolate(holder);
            expect(await timeToChange(2 * bound)).toBeLessThanOrEqual(bound);
        },
    );

    // Guards against a holder that keeps its cell until the leases lapse, since the store answers its other calls.
    it("is handed over if the store does not answer the calls that prove the lease", async () => {
        await startCluster(largeCores);
        await submitAll();
        const holder = cluster.holder() ?? "";
        const provingCalls = ["/api/rows-tx", "/api/rows-get?table=cells"];
        cluster.platform.network.addFault({
            matches: (from, { path }) => from === holder && provingCalls.some(call => path.startsWith(call)),
            action: "cut",
        });
        expect(await timeToChange(2 * leaseDuration)).toBeLessThanOrEqual(leaseDuration);
    });

    // Guards against a cell that stays without a holder until its tasks' leases lapse, since it has changed its holder often.
    it("replaces a holder that has lost power also after many changes", async () => {
        await startCluster(largeCores);
        await submitAll();
        for (let change = 0; change < 5; change += 1) {
            const heal = cutOffStore(cluster.holder() ?? "");
            await timeToChange(2 * leaseDuration);
            heal();
            await time.advance(2_000);
        }
        cluster.isolate(cluster.holder() ?? "");
        expect(await timeToChange(2 * leaseDuration)).toBeLessThanOrEqual(lateTakeoverBound);
    });

    // Guards against a live holder that counts as down since its calls time out, which closes its connections.
    it("keeps a live holder whose connections close", async () => {
        await startCluster(largeCores);
        const before = epoch();
        for (let passed = 0; passed < observedTime; passed += closeInterval) {
            cluster.closeConnections(cluster.holder() ?? "");
            await time.advance(closeInterval);
        }
        expect(epoch()).toBe(before);
    });

    // Guards against a process that has ended, whose connections are closed, and that is waited for all the same.
    it.each([largeCores, smallCores])("replaces a holder of %d cores whose process has ended", async cores => {
        await startCluster(cores);
        await submitAll();
        cluster.kill(cluster.holder() ?? "");
        expect(await timeToChange(2 * takeoverBound)).toBeLessThanOrEqual(takeoverBound);
    });

    // Guards against a holder that keeps its cell without the store until the leases of its tasks lapse.
    it.each([largeCores, smallCores])(
        "is handed over by a holder of %d cores that is cut off from the store",
        async cores => {
            await startCluster(cores);
            await submitAll();
            cutOffStore(cluster.holder() ?? "");
            expect(await timeToChange(2 * leaseDuration)).toBeLessThanOrEqual(leaseDuration);
        },
    );

    // Guards against a former holder that goes on to call the workers, which takes its processor time and theirs.
    it.each([largeCores, smallCores])("gets no calls to its workers from a former holder of %d cores", async cores => {
        await startCluster(cores);
        await submitAll();
        const former = cluster.holder() ?? "";
        const { network, storeAddress } = cluster.platform;
        let calls = 0;
        network.addFault({
            matches: (from, { address }) => {
                calls += from === former && address !== storeAddress ? 1 : 0;
                return false;
            },
            action: "cut",
        });
        const before = epoch();
        const successor = cluster.hosts.get(hostIds.find(id => id !== former) ?? "");
        const body = { cell: "all" as CellId, epoch: before };
        void successor?.handlePeer({ kind: "take-over", body }, () => undefined);
        await time.advanceUntil(() => epoch() > before, takeoverBound);
        await time.advance(formerHolderBound);
        const callsInBound = calls;
        await time.advance(formerHolderBound);
        expect([epoch() - before, calls - callsInBound]).toEqual([1, 0]);
    });
});
