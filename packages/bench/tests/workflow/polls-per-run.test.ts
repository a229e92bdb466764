import type { WorkerGateway } from "@jayfront/workflow";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import { installHostTimers } from "../../src/workflow/host-processor.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const workers = 17;
/** Milliseconds of one core; as in takeover-storm.test.ts. */
const hostWork = { perCall: 0.6, perStoreKilobyte: 0.1, perMessage: 0.2, perStart: 3.3, perTimer: 0.02 };
/** Milliseconds until the cell has a holder that knows its workers. */
const warmUp = 8_000;
/** Milliseconds from the submissions until runs end all the time, and for which polls are counted then. */
const settlingTime = 4_000;
const countingTime = 10_000;
const workflows = 6;
/** Steps of a workflow, none of which waits for another, and the run times of their tasks in milliseconds. */
const stepCount = 20;
const shortestRun = 1_000;
const runTimeStep = 53;

describe("the polls of workers whose runs end one after another", () => {
    let time: FakeTime;
    let restoreTimers: () => void;
    let cluster: WorkflowCluster;
    /** Number of polls other than those that extend leases. */
    let polls: number;
    const countPolls = (gateway: WorkerGateway): WorkerGateway => ({
        ...gateway,
        poll: (worker, order) => {
            polls += order.deadline === undefined ? 1 : 0;
            return gateway.poll(worker, order);
        },
    });
    beforeEach(() => {
        time = installFakeTime();
        restoreTimers = installHostTimers();
        polls = 0;
    });
    afterEach(() => {
        cluster.stop();
        restoreTimers();
        time.restore();
    });
    const countEnds = (): number => cluster.platform.journal.events.filter(({ kind }) => kind === "ended").length;

    // Guards against polls that only list ends again which are being stored, one for each start that is answered (issue 50).
    it.each([[1, 1, 2.1], [1, 60, 2.1], [0.1, 1, 1.3], [0.1, 60, 1.3]])(
        "of a holder of %d cores, with a store %d times slower, are at most %d for each run",
        async (cores, slowdown, bound) => {
            cluster = createWorkflowCluster({
                hosts: { "east-a": 2 },
                workers: { "east-a": workers },
                cpuOf: () => 1_000,
                processors: { "h-east-a-0": cores, "h-east-a-1": cores },
                hostWork,
                plantedFault: { gateway: countPolls },
            });
            await time.advance(warmUp);
            cluster.platform.store.slowdown = slowdown;
            for (let number = 1; number <= workflows; number += 1) {
                const steps = Array.from({ length: stepCount }, () => ({ count: 20, cpu: 4_000 }));
                void cluster.submit(cluster.holder() ?? "", number.toString(16).padStart(16, "0"), steps, {
                    workByStep: steps.map((...[, step]) => shortestRun + step * runTimeStep),
                });
            }
            await time.advance(settlingTime);
            const endsBefore = countEnds();
            polls = 0;
            await time.advance(countingTime);
            expect(polls / (countEnds() - endsBefore)).toBeLessThanOrEqual(bound);
        },
    );
});
