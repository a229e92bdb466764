import { findBreach } from "@jayfront/platform-stand-in";
import { describe, expect, it } from "@jest/globals";

import { installFakeTime } from "../../src/util/fake-time.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const worker = "w-east-a-0";
const tasksPerJob = 6;
/** Milliseconds that a task takes: longer than any lease. */
const work = 30_000;
/** Milliseconds for which calls to the restarting worker wait until it takes them. */
const connectionDelay = 300;
/** Milliseconds from the restart until the worker is cut off: before or after its first report. */
const unnoticed = 100;
const noticed = 1_200;
const cutTime = 15_000;
/** Times of the restart in ms: whether a deadline is under way then depends on when the lease was last extended. */
const phases = Array.from({ length: 12 }, (...[, index]) => 1_000 + index * 200);

interface Play {
    readonly phase: number;
    /** Whether calls that wait for the worker are answered. */
    readonly isAnswered: boolean;
    readonly untilCut: number;
    /** Whether the holder of the cell is lost when the worker is cut off. */
    readonly hasTakeover: boolean;
}

/**
 * Restarts a worker under its id while calls to it wait, has tasks started there, and cuts it off. Returns the first task
 * that runs twice at a time.
 */
const play = async ({ phase, isAnswered, untilCut, hasTakeover }: Play): Promise<string | undefined> => {
    const time = installFakeTime();
    const cluster = createWorkflowCluster({
        hosts: { "east-a": 3 },
        workers: { "east-a": 3 },
        longestLease: 10_000,
        keepsIdAfterCrash: true,
    });
    const { platform } = cluster;
    const addFault = (action: "cut" | "late" | "slow"): () => void =>
        platform.network.addFault({
            matches: (...[, call]) => call.address === platform.addressOf(worker),
            action,
            delay: connectionDelay,
        });
    const submit = (id: string): void => {
        void cluster.submit(cluster.holder() ?? "", id, [{ count: tasksPerJob }], { work });
    };
    await time.advance(3_000);
    submit("00000000000000a1");
    await time.advance(phase);
    const endDelay = addFault(isAnswered ? "slow" : "late");
    submit("00000000000000a2");
    await time.advance(connectionDelay - 50);
    platform.workers.get(worker)?.restart();
    endDelay();
    submit("00000000000000a3");
    await time.advance(untilCut);
    const reconnect = addFault("cut");
    if (hasTakeover) {
        cluster.kill(cluster.holder() ?? "");
    }
    await time.advance(cutTime);
    reconnect();
    await time.advance(5_000);
    const breach = findBreach(platform.journal.events);
    cluster.stop();
    time.restore();
    return breach;
};

describe("a deadline by the clock of a worker's former incarnation", () => {
    // Guards against two runs of a task (issue 56): the deadline lies far ahead on the clock of the new incarnation and lasts there
    // as long as any may, while holders counted it as the lease that they grant.
    it.each([
        { isAnswered: true, untilCut: noticed, hasTakeover: false },
        { isAnswered: false, untilCut: noticed, hasTakeover: false },
        { isAnswered: true, untilCut: unnoticed, hasTakeover: false },
        { isAnswered: false, untilCut: unnoticed, hasTakeover: false },
        { isAnswered: true, untilCut: noticed, hasTakeover: true },
        { isAnswered: false, untilCut: noticed, hasTakeover: true },
        { isAnswered: true, untilCut: unnoticed, hasTakeover: true },
        { isAnswered: false, untilCut: unnoticed, hasTakeover: true },
    ])("holds tasks back as long as they may run there: %j", async conditions => {
        const breaches: string[] = [];
        for (const phase of phases) {
            const breach = await play({ ...conditions, phase });
            breaches.push(...breach === undefined ? [] : [breach]);
        }
        expect(breaches).toEqual([]);
    });
});
