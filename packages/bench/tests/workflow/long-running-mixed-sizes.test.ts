import { findBreach } from "@jayfront/platform-stand-in";
import type { Step } from "@jayfront/workflow";
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
const domains = ["east-a", "east-b"] as const;
const [fullDomain, otherDomain] = domains;
const workersPerDomain = 4;
const tasksPerWorker = 4;
/** Tasks of the ordinary size that fill one cell. */
const cellSize = workersPerDomain * tasksPerWorker;
const largeTasks = 3;
/** Prefix of the ids of workflows whose task fills a worker. */
const largePrefix = "000000000000ff";
const failing = "00000000000000ff";
const failingTask = `${failing}.0.0.0`;

describe("a long-running task without room in its cell", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts: Object.fromEntries(domains.map(domain => [domain, 2])),
            workers: Object.fromEntries(domains.map(domain => [domain, workersPerDomain])),
            cpu: tasksPerWorker * 1_000,
            cpuOf: task => task.startsWith(largePrefix) ? tasksPerWorker * 1_000 : 1_000,
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
        [...Array(workersPerDomain).keys()].map(number => `w-${domain}-${String(number)}`);
    const runningOn = (worker: string): readonly string[] => cluster.platform.workers.get(worker)?.running() ?? [];
    const runningIn = (domain: string): readonly string[] => workersOf(domain).flatMap(runningOn);
    const setStates = (domain: string, state: "ready" | "draining"): void => {
        workersOf(domain).forEach(worker => {
            cluster.platform.setWorkerState(worker, state);
        });
    };
    const submit = (id: string, domain: string, step: Partial<Step>, payload: object = {}): void => {
        const [host = ""] = cluster.hosts.keys();
        const steps = [{ isLasting: true, preferredRack: `r-${domain}-0`, ...step }];
        void cluster.submit(host, id, steps, { isLasting: true, ...payload });
    };
    const waitForTasks = async (domain: string, count: number): Promise<void> => {
        if (!await time.advanceUntil(() => runningIn(domain).length === count, startTime)) {
            throw new Error(`${String(runningIn(domain).length)} tasks run in ${domain}, not ${String(count)}`);
        }
    };

    // Guards against a task that waits although there is room for it many times over, since the cell that has the room
    // keeps it for larger tasks that fit on none of its workers.
    test("runs elsewhere in time although larger tasks wait in the other cell", async () => {
        setStates(otherDomain, "draining");
        await time.advance(listingDelay);
        submit(failing, fullDomain, { count: 1 }, { failures: 1, work: timeToFailure });
        submit("0000000000000001", fullDomain, { count: cellSize - 1 });
        await waitForTasks(fullDomain, cellSize);
        setStates(otherDomain, "ready");
        await time.advance(listingDelay);
        submit("0000000000000002", otherDomain, { count: cellSize / 2, perWorkerLimit: tasksPerWorker / 2 });
        await waitForTasks(otherDomain, cellSize / 2);
        for (let number = 0; number < largeTasks; number += 1) {
            const id = `${largePrefix}${String(number).padStart(2, "0")}`;
            submit(id, otherDomain, { count: 1, cpu: tasksPerWorker * 1_000 });
        }
        await time.advance(startTime);
        const started = cluster.platform.journal.events.find(event => event.task === failingTask);
        const worker = workersOf(fullDomain).find(name => runningOn(name).includes(failingTask)) ?? "";
        await time.advance((started?.at ?? 0) + timeToFailure - drainLead - time.now());
        cluster.platform.setWorkerState(worker, "draining");
        if (!await time.advanceUntil(() => !runningOn(worker).includes(failingTask), 2 * drainLead, 1)) {
            throw new Error(`${failingTask} still runs on ${worker}`);
        }
        expect(runningIn(otherDomain)).toHaveLength(cellSize / 2);
        await time.advanceUntil(() => runningIn(otherDomain).includes(failingTask), restartBound);
        expect(runningIn(otherDomain)).toContain(failingTask);
    });

    checkEntries();
});
