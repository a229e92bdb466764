import { describe, expect, it } from "@jest/globals";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import { createInterferenceModel } from "../src/policy/interference-model.js";
import type { InterferenceModel, ServingSample } from "../src/policy/interference-model.js";

/** Interference that the model has to learn: each serving image is slowed by some images and hardly by others. */
const actualInterference: Readonly<Record<string, Readonly<Record<string, number>>>> = {
    alpha: { heavy: 8, light: 0.5, other: 0.8 },
    beta: { heavy: 0.6, light: 0.7, other: 9 },
};
/** Target for the tail latency in ms. */
const target = 50;
/** Milliseconds between two reports of a worker. */
const reportInterval = 500;
/** Milliseconds of the period with which the loads oscillate. */
const wavePeriod = 14_000;
const spareImages = ["heavy", "light", "other"];

/** Feeds the model `seconds` of reports from workers whose spare-CPU tasks change and whose loads oscillate. */
const simulate = (model: InterferenceModel, seed: number, seconds: number): void => {
    const random = xoroshiro128plus(seed);
    const draw = (): number => uniformFloat64(random);
    const workers = [...Array(12).keys()].map(number => ({
        image: number % 2 === 0 ? "alpha" : "beta",
        job: `job-${String(number % 4)}`,
        usage: new Map<string, number>(),
    }));
    for (let now = 0; now < seconds * 1_000; now += reportInterval) {
        for (const worker of workers) {
            if (draw() < 0.2) {
                worker.usage = new Map(spareImages.filter(() => draw() < 0.4).map(image => [image, draw() * 0.3]));
            }
            const phase = 2 * Math.PI * now / wavePeriod + Number(worker.job.at(-1));
            const soloSpeed = 2.6 + 1.1 * Math.sin(phase);
            const loss = [...worker.usage].reduce(
                (sum, [image, share]) => sum + (actualInterference[worker.image]?.[image] ?? 0) * share,
                0,
            );
            const speed = Math.max(0.1, soloSpeed - loss) * (0.85 + 0.3 * draw());
            const sample: ServingSample = { job: worker.job, image: worker.image, tail: target / speed, target };
            model.learn([sample], worker.usage, now);
        }
    }
};

describe("the interference model, with changing spare-CPU tasks and oscillating loads", () => {
    it.each([1, 2, 3, 4, 5])("separates interfering from harmless pairs within 15 s (seed %i)", seed => {
        const model = createInterferenceModel();
        simulate(model, seed, 15);
        for (const [serving, bySpareImage] of Object.entries(actualInterference)) {
            for (const [spare, actual] of Object.entries(bySpareImage)) {
                const learned = model.interference(serving, spare);
                expect([serving, spare, learned > 3]).toEqual([serving, spare, actual > 3]);
            }
        }
    });

    it("learns the solo speed of a workflow whose tasks mostly run beside spare-CPU tasks", () => {
        const model = createInterferenceModel();
        simulate(model, 6, 28);
        // At 28 s, after two periods, the load of job 0 is where it began.
        expect(model.soloSpeed("job-0", 28_000)).toBeGreaterThan(1.9);
        expect(model.soloSpeed("job-0", 28_000)).toBeLessThan(3.3);
        // The next half period contains its lowest speed, 1.5.
        expect(model.slowestSoloSpeed("job-0", 28_000, wavePeriod / 2)).toBeLessThan(2.2);
        expect(model.slowestSoloSpeed("job-0", 28_000, wavePeriod / 2)).toBeGreaterThan(0.8);
        // At first the speed rises.
        expect(model.slowestSoloSpeed("job-0", 28_000, 1_000)).toBeGreaterThan(1.8);
    });

    it("attributes a tail latency far above its target to interference, not to a slow workflow", () => {
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
