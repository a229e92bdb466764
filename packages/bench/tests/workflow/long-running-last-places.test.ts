import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createKnownRedTests } from "../known-red-tests.js";

const { test, checkEntries } = await createKnownRedTests(import.meta.url);

/** Milliseconds until all cells have a holder that has loaded the cell's state. */
const warmUp = 6_000;
/** Milliseconds within which the holders and the entry hosts know that workers drain, or no longer do. */
const listingDelay = 3_000;
/** Milliseconds within which a lost long-running task has to run again wherever there is room. */
const restartBound = 3_000;
/** Milliseconds within which the tasks of a workflow run that a cell with room has accepted. */
const startTime = 8_000;
/** Milliseconds from the start of the run that fails by itself to its end. */
const timeToFailure = 60_000;
/** Milliseconds from when a worker drains to the failure of a task on it; its cell knows of the draining by then. */
const drainLead = 1_500;
const domains = ["east-a", "east-b", "east-c"] as const;
const [fullDomain, ...otherDomains] = domains;
/** Workers, and places for tasks, of each cell. */
const cellSize = 11;
const failing = "00000000000000ff";
const failingTask = `${failing}.0.0.0`;

describe("a long-running task without room in its cell", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts: Object.fromEntries(domains.map(domain => [domain, 2])),
            workers: Object.fromEntries(domains.map(domain => [domain, cellSize])),
            cpu: 1_000,
            cpuOf: () => 1_000,
            largestCell: 0,
        });
        await time.advance(warmUp);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
        const breach = findBreach(cluster.platform.journal.events);
        if (breach !== undefined) {
            throw new Error(breach);
        }
    });
    const workersOf = (domain: string): readonly string[] =>
        [...Array(cellSize).keys()].map(number => `w-${domain}-${String(number)}`);
    const runningOn = (worker: string): readonly string[] => cluster.platform.workers.get(worker)?.running() ?? [];
    const runningIn = (domain: string): readonly string[] => workersOf(domain).flatMap(runningOn);
    const setStates = (domain: string, state: "ready" | "draining"): void => {
        workersOf(domain).forEach(worker => {
            cluster.platform.setWorkerState(worker, state);
        });
    };
    const submit = async (id: string, count: number, domain: string, payload: object = {}): Promise<void> => {
        const [host = ""] = cluster.hosts.keys();
        const step = { count, isLasting: true, preferredRack: `r-${domain}-0` };
        void cluster.submit(host, id, [step], { isLasting: true, ...payload });
        const before = runningIn(domain).length;
        if (!await time.advanceUntil(() => runningIn(domain).length === before + count, startTime)) {
            throw new Error(
                `${String(runningIn(domain).length)} tasks run in ${domain}, not ${String(before + count)}`,
            );
        }
    };

    // Guards against a task that waits although there is room for it twice over, one place in each of two other cells.
    test("runs elsewhere in time if two other cells have one place each", async () => {
        otherDomains.forEach(domain => {
            setStates(domain, "draining");
        });
        await time.advance(listingDelay);
        await submit(failing, 1, fullDomain, { failures: 1, work: timeToFailure });
        await submit("0000000000000001", cellSize - 1, fullDomain);
        otherDomains.forEach(domain => {
            setStates(domain, "ready");
        });
        await time.advance(listingDelay);
        for (const [number, domain] of otherDomains.entries()) {
            await submit(`000000000000001${String(number)}`, cellSize - 1, domain);
        }
        const started = cluster.platform.journal.events.find(event => event.task === failingTask);
        const worker = workersOf(fullDomain).find(name => runningOn(name).includes(failingTask)) ?? "";
        await time.advance((started?.at ?? 0) + timeToFailure - drainLead - time.now());
        cluster.platform.setWorkerState(worker, "draining");
        if (!await time.advanceUntil(() => !runningOn(worker).includes(failingTask), 2 * drainLead, 1)) {
            throw new Error(`${failingTask} still runs on ${worker}`);
        }
        expect(domains.map(domain => runningIn(domain).length)).toEqual([cellSize - 1, cellSize - 1, cellSize - 1]);
        await time.advanceUntil(() => otherDomains.flatMap(runningIn).includes(failingTask), restartBound);
        expect(otherDomains.flatMap(runningIn)).toContain(failingTask);
    });

    checkEntries();
});
