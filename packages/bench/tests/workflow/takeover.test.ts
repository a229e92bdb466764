import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const plays = 10;
/** Milliseconds from a holder's death to the first order of its successor, at the median; from the milestone's issues. */
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

    /** Kills the holder while work waits for its first order; answers ms until the successor's first start. */
    const play = async (
        offset: number,
    ): Promise<{ readonly took: number; readonly isSafe: boolean; readonly runs: number; }> => {
        const cluster = createWorkflowCluster({
            hosts: { "east-a": 2, "east-b": 2 },
            workers: { "east-a": 3, "east-b": 3 },
            cpuOf: () => 1_000,
        });
        await time.advance(3_000 + offset);
        const dead = cluster.holder() ?? "";
        const asked = [...cluster.hosts.keys()].find(id => id !== dead) ?? "";
        // Tasks that run on, and a second step whose start falls to the successor.
        void cluster.submit(asked, idOf(1), [{ count: 3 }, { count: 2, after: [0] }], { work: 600 });
        void cluster.submit(asked, idOf(2), [{ count: 4, isLasting: true }], { isLasting: true });
        await time.advance(500);
        const killedAt = performance.now();
        cluster.kill(dead);
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

    it("has its successor's first order within the bound at the median, and loses no work", async () => {
        const results: Awaited<ReturnType<typeof play>>[] = [];
        for (let number = 0; number < plays; number += 1) {
            results.push(await play(number * 137));
            time.restore();
            time = installFakeTime();
        }
        const times = results.map(({ took }) => took).sort((left, right) => left - right);
        expect(times[plays / 2] ?? Infinity).toBeLessThan(medianBound);
        expect(results.every(({ isSafe }) => isSafe)).toBe(true);
        // Lasting tasks on workers that answer are adopted, not started again.
        expect(results.map(({ runs }) => runs)).toEqual(Array(plays).fill(4));
    });
});
