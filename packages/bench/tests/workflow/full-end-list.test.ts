import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const workflows = 40;
const tasksPerWorkflow = 20;
/** Milliseconds of work of a task; all tasks start within less. */
const work = 6_000;
/** Milliseconds between two submissions. */
const submissionInterval = 10;
/** Milliseconds for which the store is down, from the first end on. */
const outage = 4_500;
const idOf = (number: number): string => number.toString(16).padStart(16, "0");

describe("a worker with more ends than one report lists", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts: { "east-a": 3 },
            workers: { "east-a": 1 },
            cpu: 64_000,
            cpuOf: () => 10,
        });
        await time.advance(3_000);
        const hosts = [...cluster.hosts.keys()];
        for (let number = 0; number < workflows; number += 1) {
            const steps = [{ count: tasksPerWorkflow, cpu: 10 }];
            void cluster.submit(hosts[number % hosts.length] ?? "", idOf(number), steps, { work });
            await time.advance(submissionInterval);
        }
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    const eventsOf = (kind: string): number =>
        cluster.platform.journal.events.filter(event => event.kind === kind).length;
    const advanceUntilEnds = async (count: number): Promise<void> => {
        await time.advanceUntil(() => eventsOf("ended") >= count, 2 * work, 20);
    };
    /** Number of starts, and of ends `done` that were acknowledged, with the first violation. */
    const outcome = (): object => {
        const { events } = cluster.platform.journal;
        return {
            started: eventsOf("started"),
            acknowledged: events.filter(event => event.kind === "acknowledged" && event.how === "done").length,
            breach: findBreach(events),
        };
    };
    const onceEach = {
        started: workflows * tasksPerWorkflow,
        acknowledged: workflows * tasksPerWorkflow,
        breach: undefined,
    };

    // Guards against tasks that run again after they ended (review case 1): a run whose end was not among the 500 of a
    // report counted as gone while the store was down.
    it("runs each task once while the store is down", async () => {
        await advanceUntilEnds(1);
        const heal = cluster.platform.network.addFault({
            matches: (...[, call]) => call.address === cluster.platform.storeAddress,
            action: "refuse",
        });
        await time.advance(outage);
        heal();
        await time.advance(15_000);
        expect(outcome()).toEqual(onceEach);
    });

    // Guards against the same fault in a new holder, whose first report of the worker lists 500 of its ends.
    it("runs each task once if its holder is cut off", async () => {
        await advanceUntilEnds(1);
        cluster.isolate(cluster.holder() ?? "");
        await time.advance(20_000);
        expect(outcome()).toEqual(onceEach);
    });
});
