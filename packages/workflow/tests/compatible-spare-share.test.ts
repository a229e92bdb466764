import { describe, expect, it } from "@jest/globals";

import { compatibleSpareShare } from "../src/policy/compatible-spare-share.js";
import { createInterferenceModel } from "../src/policy/interference-model.js";

describe("compatibleSpareShare", () => {
    const demand = new Map([["x", 3], ["y", 1]]);

    it("decreases with each serving image, most with the first", () => {
        const shares = [[], ["a"], ["a", "b"], ["a", "b", "c"]].map(images =>
            compatibleSpareShare(images, demand, () => 0.4)
        );
        const losses = shares.slice(1).map((share, index) => (shares[index] ?? 0) - share);
        expect(shares[0]).toBe(1);
        expect(losses).toEqual([...losses].sort((left, right) => right - left));
        expect(Math.min(...losses)).toBeGreaterThan(0);
    });

    it("does not decrease where both images tolerate the same spare-CPU images", () => {
        const tolerates = (serving: string, spare: string): number => serving !== "c" === (spare === "x") ? 1 : 0;
        expect(compatibleSpareShare(["a"], demand, tolerates)).toBe(0.75);
        expect(compatibleSpareShare(["a", "b"], demand, tolerates)).toBe(0.75);
        expect(compatibleSpareShare(["a", "c"], demand, tolerates)).toBe(0);
    });

    it("can use the model's probabilities, which are uncertain until both images were seen together", () => {
        const model = createInterferenceModel();
        expect(model.harmlessProbability("a", "light")).toBeGreaterThan(0.2);
        expect(model.harmlessProbability("a", "light")).toBeLessThan(0.6);
        for (let now = 0; now < 20_000; now += 500) {
            const speed = 2.5;
            const sampleAt = (loss: number): Parameters<typeof model.learn>[0] => [
                { job: "j", image: "a", tail: 100 / (speed - loss), target: 100 },
            ];
            model.learn(sampleAt(0), new Map(), now);
            model.learn(sampleAt(0.2 * 0.8), new Map([["light", 0.2]]), now + 100);
            model.learn(sampleAt(0.2 * 7), new Map([["heavy", 0.2]]), now + 200);
        }
        expect(model.harmlessProbability("a", "light")).toBeGreaterThan(0.9);
        expect(model.harmlessProbability("a", "heavy")).toBeLessThan(0.1);
    });
});
