import { describe, expect, it } from "@jest/globals";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import type { InterferenceModel } from "../src/interference-model.js";
import { createInterferenceModel } from "../src/interference-model.js";

const random = xoroshiro128plus(3);
const between = (low: number, high: number): number => low + (high - low) * uniformFloat64(random);

/** Trains the model with random mixes; `slowDowns` holds the true relative slow-down by one task of each class. */
const train = (model: InterferenceModel, samples: number, slowDowns: Record<string, number>, baseFactor = 1): void => {
    for (let sample = 0; sample < samples; sample += 1) {
        const load = between(0.2, 0.6);
        const batch = Object.fromEntries(Object.keys(slowDowns).map(name => [name, Math.floor(between(0, 10))]));
        const interference = Object.entries(slowDowns).reduce(
            (sum, [name, slowDown]) => sum + slowDown * (batch[name] ?? 0),
            0,
        );
        const mean = 50 * baseFactor * (1 + 0.5 * load) * (1 + interference * (1 + load)) * between(0.95, 1.05);
        model.learn({ load, batch, mean, count: 20 });
    }
};

describe("interference model", () => {
    it("distinguishes a class that interferes from one that does not", () => {
        const model = createInterferenceModel({ initialMean: 80 });
        train(model, 400, { loud: 0.05, still: 0.002 });
        const [interfering, harmless] = [model.effect("loud", 0.4), model.effect("still", 0.4)];
        expect(interfering.slowDown).toBeGreaterThan(0.05);
        expect(interfering.slowDown).toBeLessThan(0.09);
        expect(harmless.slowDown).toBeLessThan(0.02);
    });

    it("attributes a slow-down of all workers to no class", () => {
        const model = createInterferenceModel({ initialMean: 80 });
        train(model, 300, { path: 0.02 });
        const before = model.effect("path", 0.4).slowDown;
        train(model, 30, { path: 0.02 }, 1.4);
        expect(model.predict(0.4, {})).toBeGreaterThan(50 * 1.2 * 1.2);
        expect(Math.abs(model.effect("path", 0.4).slowDown - before)).toBeLessThan(0.02);
    });

    it("predicts a larger upper bound for an unknown class", () => {
        const model = createInterferenceModel({ initialMean: 80 });
        train(model, 200, { path: 0.02 });
        const knownBound = model.predict(0.4, { path: 3 }, 1) / model.predict(0.4, {});
        const unknownBound = model.predict(0.4, { other: 3 }, 1) / model.predict(0.4, {});
        expect(unknownBound).toBeGreaterThan(knownBound);
    });
});
