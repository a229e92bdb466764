import type { NetworkFault } from "@jayfront/platform-stand-in";
import { findBreach, isWriteCall } from "@jayfront/platform-stand-in";
import { sleep } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Milliseconds from the start until the cluster serves requests. */
const warmUp = 4_000;
/** Milliseconds between two submissions. */
const submissionInterval = 333;
/** Milliseconds for which workflows are submitted before, during and after the disturbance. */
const undisturbedTime = 3_000;
const disturbedTime = 5_000;
/** Milliseconds that a submitter waits for an acceptance in all. */
const submitterDeadline = 3_000;
/** Milliseconds until the last workflows have completed. */
const completionTime = 12_000;

describe("submissions under steady progress", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts: { "east-a": 2, "east-b": 2, "east-c": 2 },
            workers: { "east-a": 4, "east-b": 4 },
            cpuOf: () => 1_000,
        });
        await time.advance(warmUp);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    /** Submits as callers do: again at another host after a refusal or an unknown outcome; resolves to the outcome. */
    const submitUntilAccepted = async (number: number): Promise<string> => {
        const id = number.toString(16).padStart(16, "0");
        const deadline = performance.now() + submitterDeadline;
        const hosts = [...cluster.hosts.keys()];
        let outcome = "none";
        for (let attempt = 0; performance.now() < deadline; attempt += 1) {
            const host = hosts[(number + attempt) % hosts.length] ?? "";
            const answer = await cluster.submit(host, id, [{ count: 2 }, { count: 2, after: [0] }], { work: 600 });
            outcome = answer.kind;
            if (outcome === "accepted" && performance.now() <= deadline) {
                return outcome;
            }
            await sleep(outcome === "unavailable" ? 300 : 50);
        }
        return outcome === "accepted" ? "accepted late" : outcome;
    };
    const submitThroughout = async (disturb: () => () => void): Promise<readonly string[]> => {
        const outcomes: Promise<string>[] = [];
        let heal: (() => void) | undefined;
        const end = 2 * undisturbedTime + disturbedTime;
        for (let passed = 0; passed < end; passed += submissionInterval) {
            if (passed >= undisturbedTime && heal === undefined) {
                heal = disturb();
            }
            if (passed >= undisturbedTime + disturbedTime) {
                heal?.();
            }
            outcomes.push(submitUntilAccepted(outcomes.length + 1));
            await time.advance(submissionInterval);
        }
        await time.advance(completionTime);
        return Promise.all(outcomes);
    };
    const acceptedShare = (outcomes: readonly string[]): number =>
        outcomes.filter(outcome => outcome === "accepted").length / outcomes.length;
    /** Applies a fault to every `period`th write. */
    const disturbWrites = (period: number, fault: Omit<NetworkFault, "matches">) => (): () => void => {
        let writes = 0;
        return cluster.platform.network.addFault({
            ...fault,
            matches: (...[, call]) => {
                writes += isWriteCall(call) ? 1 : 0;
                return isWriteCall(call) && writes % period === 0;
            },
        });
    };

    // Guards against submitters that are refused for seconds since each submission is a transaction of its own.
    it("are accepted while the store is 60 times slower", async () => {
        const outcomes = await submitThroughout(() => {
            cluster.platform.store.slowdown = 60;
            return () => {
                cluster.platform.store.slowdown = 1;
            };
        });
        expect(acceptedShare(outcomes)).toBeGreaterThanOrEqual(0.9);
        expect(findBreach(cluster.platform.journal.events)).toBeUndefined();
    });

    // Guards against a lost answer to one transaction that keeps all later submissions waiting.
    it("are accepted while a third of the answers to writes is lost", async () => {
        const outcomes = await submitThroughout(disturbWrites(3, { action: "lose-answer" }));
        expect(acceptedShare(outcomes)).toBeGreaterThanOrEqual(0.9);
        expect(findBreach(cluster.platform.journal.events)).toBeUndefined();
    });

    // Guards against retries that add to the load of a store that refuses every other write.
    it("are accepted while the store refuses every other write with 429", async () => {
        const outcomes = await submitThroughout(disturbWrites(2, { action: "refuse", status: 429 }));
        expect(acceptedShare(outcomes)).toBeGreaterThanOrEqual(0.9);
        expect(findBreach(cluster.platform.journal.events)).toBeUndefined();
    });

    // Guards against a workflow that is stored twice, or called refused, because its write was carried out late.
    it("run once each while a third of the writes is carried out 2 s late", async () => {
        const outcomes = await submitThroughout(disturbWrites(3, { action: "late", delay: 2_000 }));
        const ran = new Set(
            cluster.platform.journal.events.filter(({ kind }) => kind === "started").map(({ task }) =>
                Number.parseInt(task.split(".")[0] ?? "", 16)
            ),
        );
        const refusedButRan = outcomes.flatMap((outcome, index) =>
            outcome === "unavailable" && ran.has(index + 1) ? [index + 1] : []
        );
        expect(refusedButRan).toEqual([]);
        expect(findBreach(cluster.platform.journal.events)).toBeUndefined();
    });
});
