import { describe, expect, it } from "@jest/globals";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import { createInterferenceModel } from "../src/policy/interference-model.js";
import type { InterferenceModel, ServingSample } from "../src/policy/interference-model.js";

/** Pressures that the model does not see: each serving image is disturbed by some images and hardly by others. */
const hidden: Readonly<Record<string, Readonly<Record<string, number>>>> = {
    alpha: { heavy: 8, light: 0.5, other: 0.8 },
    beta: { heavy: 0.6, light: 0.7, other: 9 },
};
const target = 50;
const reportInterval = 500;
const wavePeriod = 14_000;
const spareImages = ["heavy", "light", "other"];

/** Reports of some workers whose neighbours change, for `seconds`; tails follow the hidden pressures and a wave of load. */
const play = (model: InterferenceModel, seed: number, seconds: number): void => {
    const random = xoroshiro128plus(seed);
    const draw = (): number => uniformFloat64(random);
    const workers = [...Array(12).keys()].map(number => ({
        image: number % 2 === 0 ? "alpha" : "beta",
        job: `job-${String(number % 4)}`,
        mix: new Map<string, number>(),
    }));
    for (let now = 0; now < seconds * 1_000; now += reportInterval) {
        for (const worker of workers) {
            if (draw() < 0.2) {
                worker.mix = new Map(spareImages.filter(() => draw() < 0.4).map(image => [image, draw() * 0.3]));
            }
            const phase = 2 * Math.PI * now / wavePeriod + Number(worker.job.at(-1));
            const own = 2.6 + 1.1 * Math.sin(phase);
            const loss = [...worker.mix].reduce(
                (sum, [image, share]) => sum + (hidden[worker.image]?.[image] ?? 0) * share,
                0,
            );
            const speed = Math.max(0.1, own - loss) * (0.85 + 0.3 * draw());
            const sample: ServingSample = { job: worker.job, image: worker.image, tail: target / speed, target };
            model.learn([sample], worker.mix, now);
        }
    }
};

describe("the pressure model, beside neighbours that come and go under a wave of load", () => {
    it.each([1, 2, 3, 4, 5])("tells disturbing pairs from harmless ones within 15 s (seed %i)", seed => {
        const model = createInterferenceModel();
        play(model, seed, 15);
        for (const [serving, pressures] of Object.entries(hidden)) {
            for (const [spare, actual] of Object.entries(pressures)) {
                const learned = model.interference(serving, spare);
                expect([serving, spare, learned > 3]).toEqual([serving, spare, actual > 3]);
            }
        }
    });

    it("knows a workflow's own speed although most of its tasks have neighbours", () => {
        const model = createInterferenceModel();
        play(model, 6, 28);
        // At 28 s the wave of job 0 stands where it began.
        expect(model.soloSpeed("job-0", 28_000)).toBeGreaterThan(1.9);
        expect(model.soloSpeed("job-0", 28_000)).toBeLessThan(3.3);
        // Within half a wave comes its slowest speed, 1.5.
        expect(model.slowestSoloSpeed("job-0", 28_000, wavePeriod / 2)).toBeLessThan(2.2);
        expect(model.slowestSoloSpeed("job-0", 28_000, wavePeriod / 2)).toBeGreaterThan(0.8);
        // Just now it rises.
        expect(model.slowestSoloSpeed("job-0", 28_000, 1_000)).toBeGreaterThan(1.8);
    });

    it("takes a tail that is far beyond its target for too much pressure, not for a slow task", () => {
        const model = createInterferenceModel();
        for (let now = 0; now < 4_000; now += reportInterval) {
            model.learn([{ job: "a", image: "alpha", tail: 20, target }], new Map(), now);
        }
        for (let now = 4_000; now < 8_000; now += reportInterval) {
            model.learn([{ job: "a", image: "alpha", tail: 900, target }], new Map([["heavy", 0.3]]), now);
        }
        expect(model.soloSpeed("a", 8_000)).toBeGreaterThan(2);
        expect(model.interference("alpha", "heavy")).toBeGreaterThan(5);
    });
});
