import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const repetitions = 10;
/** Required bound on the median time from killing a holder to the first order of its successor, in ms. */
const medianBound = 1_500;
const idOf = (number: number): string => number.toString(16).padStart(16, "0");

describe("a cell whose holder is killed", () => {
    let time: FakeTime;
    beforeEach(() => {
        time = installFakeTime();
    });
    afterEach(() => {
        time.restore();
    });

    /** Kills the holder while tasks run and a step waits; `took` is the time to the successor's first start, in ms. */
    const killHolder = async (
        offset: number,
    ): Promise<{ readonly took: number; readonly isSafe: boolean; readonly runs: number; }> => {
        const cluster = createWorkflowCluster({
            hosts: { "east-a": 2, "east-b": 2 },
            workers: { "east-a": 3, "east-b": 3 },
            cpuOf: () => 1_000,
        });
        await time.advance(3_000 + offset);
        const killed = cluster.holder() ?? "";
        const submitHost = [...cluster.hosts.keys()].find(id => id !== killed) ?? "";
        // The tasks of the first step go on running; the successor has to start those of the second one.
        void cluster.submit(submitHost, idOf(1), [{ count: 3 }, { count: 2, after: [0] }], { work: 600 });
        void cluster.submit(submitHost, idOf(2), [{ count: 4, isLasting: true }], { isLasting: true });
        await time.advance(500);
        const killedAt = performance.now();
        cluster.kill(killed);
        await time.advance(6_000);
        const { events } = cluster.platform.journal;
        const starts = events.filter(event => event.kind === "started");
        const first = starts.find(event => event.at > killedAt);
        cluster.stop();
        return {
            took: (first?.at ?? Infinity) - killedAt,
            isSafe: findBreach(events) === undefined,
            runs: starts.filter(event => event.task.startsWith(idOf(2))).length,
        };
    };

    it("gets its successor's first order within the bound at the median, and loses no work", async () => {
        const results: Awaited<ReturnType<typeof killHolder>>[] = [];
        for (let number = 0; number < repetitions; number += 1) {
            results.push(await killHolder(number * 137));
            time.restore();
            time = installFakeTime();
        }
        const times = results.map(({ took }) => took).sort((left, right) => left - right);
        expect(times[repetitions / 2] ?? Infinity).toBeLessThan(medianBound);
        expect(results.every(({ isSafe }) => isSafe)).toBe(true);
        // Long-running tasks on workers that answer are adopted, not started again.
        expect(results.map(({ runs }) => runs)).toEqual(Array(repetitions).fill(4));
    });
});
