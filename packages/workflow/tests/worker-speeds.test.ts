import type { WorkerId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import type { WorkerSpeeds } from "../src/policy/worker-speeds.js";
import { createWorkerSpeeds } from "../src/policy/worker-speeds.js";

const sound = ["s-1", "s-2", "s-3"] as WorkerId[];
const worker = "w" as WorkerId;

describe("worker speeds", () => {
    let speeds: WorkerSpeeds;
    const recordRuns = (of: WorkerId, slowness: readonly number[], spread = 0.35): void => {
        for (const each of slowness) {
            speeds.record(of, { run: {}, slowness: each, spread });
        }
    };
    beforeEach(() => {
        jest.useFakeTimers();
        speeds = createWorkerSpeeds();
        sound.forEach(id => {
            recordRuns(id, [1.2, 0.8]);
        });
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    // Guards against urgent work on a worker that is known to take five times as long.
    it("find a worker slow on which a run takes five times as long as others of its step", () => {
        recordRuns(worker, [5]);
        expect(speeds.review()).toMatchObject([{ worker, isSlow: true, samples: 1 }]);
        expect(speeds.speedOf(worker)).toBeLessThan(0.5);
        expect(speeds.slowCount()).toBe(1);
    });

    // Guards against placement by chance: times of a kind vary by half, and those of a step by a third.
    it.each([
        ["one run of a step that takes more than twice as long", [2.4], 0.35],
        ["one run five times as long, of a kind of which only the declared time is known", [5], 0.8],
        ["runs of a kind that varies", [2.5, 0.5, 1.8], 0.7],
    ])("leave a worker normal after %s", (...[, slowness, spread]) => {
        recordRuns(worker, slowness, spread);
        expect(speeds.review()).toEqual([]);
        expect(speeds.speedOf(worker)).toBe(1);
    });

    // Guards against placement that changes on a day of sound workers: times of a step's tasks differ by a third.
    it.each([1, 2, 3])("leave 300 sound workers normal (seed %i)", seed => {
        const random = xoroshiro128plus(seed);
        const normal = (): number => [...Array(12)].reduce((sum: number) => sum + uniformFloat64(random), -6);
        const fleet = [...Array(300).keys()].map(number => `f-${String(number)}` as WorkerId);
        let changes = 0;
        for (let second = 0; second < 60; second += 1) {
            fleet.forEach(id => {
                recordRuns(id, [Math.exp(0.3 * normal())]);
            });
            jest.advanceTimersByTime(1_000);
            changes += speeds.review().length;
        }
        expect(changes).toBe(0);
    });

    // Guards against a long run that counts as many: its own size makes all of its parts slow.
    it("count the parts of a run once", () => {
        const run = {};
        for (let part = 0; part < 10; part += 1) {
            speeds.record(worker, { run, slowness: 2.4, spread: 0.35 });
        }
        expect(speeds.review()).toEqual([]);
    });

    // Guards against a delayed holder, or wrong expectations, that make all workers seem slow.
    it("leave all workers normal if most seem slow", () => {
        [...sound, worker].forEach(id => {
            recordRuns(id, [5, 5]);
        });
        expect(speeds.review()).toEqual([]);
    });

    // Guards against a worker that is lost for urgent work long after it works at normal speed again.
    it("find a worker sound again as soon as a run goes at normal speed", () => {
        recordRuns(worker, [5, 5, 5]);
        speeds.review();
        jest.advanceTimersByTime(4_000);
        const probe = {};
        speeds.record(worker, { run: probe, slowness: 5, spread: 0.35 });
        expect(speeds.review()).toEqual([]);
        jest.advanceTimersByTime(4_000);
        speeds.record(worker, { run: probe, slowness: 1, spread: 0.35 });
        expect(speeds.review()).toMatchObject([{ worker, isSlow: false }]);
        expect(speeds.speedOf(worker)).toBe(1);
    });

    // Guards against a restarted worker that is judged by the incarnation before it.
    it("forget a worker with its life", () => {
        recordRuns(worker, [5, 5]);
        speeds.review();
        expect(speeds.forget(worker)).toBe(true);
        expect(speeds.speedOf(worker)).toBe(1);
        expect(speeds.review()).toEqual([]);
    });
});
