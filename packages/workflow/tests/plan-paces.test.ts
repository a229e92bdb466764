import { describe, expect, it } from "@jest/globals";

import type { Interference } from "../src/policy/plan-paces.js";
import { planPaces } from "../src/policy/plan-paces.js";
import { servingSlack } from "../src/policy/serving-slack.js";

const interference: Interference = (...[, spare]) => spare === "heavy" ? 8 : 0.5;
const heavy = { image: "heavy", share: 0.1 };
const light = { image: "light", share: 0.1 };

describe("planPaces", () => {
    it("keeps the full pace where no serving task is near its target", () => {
        expect(planPaces([{ image: "a", ownSpeed: 3 }], [heavy, light], interference)).toEqual([1, 1]);
        expect(planPaces([], [heavy, heavy], interference)).toEqual([1, 1]);
    });

    it("slows only tasks that interfere, and no more than the target requires", () => {
        const [slowed = 1, untouched] = planPaces([{ image: "a", ownSpeed: 1.7 }], [heavy, light], interference);
        expect(untouched).toBe(1);
        expect(slowed).toBeGreaterThan(0);
        expect(1.7 - slowed * 0.8 - 0.05).toBeGreaterThan(1);
    });

    it("gives pace first to tasks that interfere least, which do more work for the same loss", () => {
        const paces = planPaces([{ image: "a", ownSpeed: 1.7 }], [heavy, light, light, light, heavy], interference);
        expect(paces.slice(1, 4)).toEqual([1, 1, 1]);
        expect(paces[0]).toBeCloseTo((1.7 - 1.25 - 3 * 0.05) / 0.8);
        expect(paces[4]).toBe(0);
    });

    it("does not slow tasks whose interference is too small to be measured", () => {
        const tiny = { image: "light", share: 0.02 };
        expect(planPaces([{ image: "a", ownSpeed: 1 }], [heavy, tiny], interference)).toEqual([0, 1]);
    });

    it("is determined by the serving task with the lowest speed", () => {
        const both = planPaces([{ image: "a", ownSpeed: 3 }, { image: "b", ownSpeed: 1.5 }], [heavy], interference);
        expect(both).toEqual(planPaces([{ image: "b", ownSpeed: 1.5 }], [heavy], interference));
    });

    it("halts tasks beside a serving task that would miss its target even alone", () => {
        expect(planPaces([{ image: "a", ownSpeed: 0.9 }], [heavy], interference)).toEqual([0]);
    });
});

describe("servingSlack", () => {
    it.each([
        ["is infinite without serving tasks", [], [], heavy, Infinity, Infinity],
        ["is measured without other spare-CPU tasks", [{ image: "a", ownSpeed: 2 }], [], heavy, 1, 0.2],
        [
            "is reduced by the spare-CPU tasks that are present",
            [{ image: "a", ownSpeed: 2 }],
            [heavy],
            light,
            0.2,
            0.15,
        ],
        [
            "is that of the slowest serving task",
            [{ image: "a", ownSpeed: 2 }, { image: "b", ownSpeed: 1.5 }],
            [],
            light,
            0.5,
            0.45,
        ],
    ])("%s", (...[, servingTasks, present, added, before, after]) => {
        const slack = servingSlack(servingTasks, present, added, interference);
        expect([slack.before, slack.after].map(value => value.toFixed(6))).toEqual(
            [before, after].map(value => value.toFixed(6)),
        );
    });
});
