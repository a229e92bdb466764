import { describe, expect, it } from "@jest/globals";

import type { Pressure } from "../src/policy/pace-plan.js";
import { planPaces } from "../src/policy/pace-plan.js";
import { pressTasks, servingSlack } from "../src/policy/serving-slack.js";

const pressure: Pressure = (...[, spare]) => spare === "heavy" ? 8 : 0.5;
const heavy = { image: "heavy", share: 0.1 };
const light = { image: "light", share: 0.1 };

describe("paces of tasks on spare processor time", () => {
    it("stay full where no serving task is near its target", () => {
        expect(planPaces([{ image: "a", ownSpeed: 3 }], [heavy, light], pressure)).toEqual([1, 1]);
        expect(planPaces([], [heavy, heavy], pressure)).toEqual([1, 1]);
    });

    it("fall for what disturbs only, and just as far as the target needs", () => {
        const [slowed = 1, untouched] = planPaces([{ image: "a", ownSpeed: 1.7 }], [heavy, light], pressure);
        expect(untouched).toBe(1);
        expect(slowed).toBeGreaterThan(0);
        expect(1.7 - slowed * 0.8 - 0.05).toBeGreaterThan(1);
    });

    it("follow the serving task that needs most", () => {
        const both = planPaces([{ image: "a", ownSpeed: 3 }, { image: "b", ownSpeed: 1.5 }], [heavy], pressure);
        expect(both).toEqual(planPaces([{ image: "b", ownSpeed: 1.5 }], [heavy], pressure));
    });

    it("are zero beside a task that would miss its target alone", () => {
        expect(planPaces([{ image: "a", ownSpeed: 0.9 }], [heavy], pressure)).toEqual([0]);
    });
});

describe("the slack of serving tasks", () => {
    it.each([
        ["without serving tasks", [], [], heavy, Infinity],
        ["beside nobody", [{ image: "a", ownSpeed: 2 }], [], heavy, 0.2],
        ["beside others", [{ image: "a", ownSpeed: 2 }], [heavy], light, 0.15],
        ["of the one that needs most", [{ image: "a", ownSpeed: 2 }, { image: "b", ownSpeed: 1.5 }], [], light, 0.45],
    ])("%s", (...[, needs, present, added, expected]) => {
        const slack = servingSlack(pressTasks(needs, present, pressure), added, pressure);
        if (expected === Infinity) {
            expect(slack).toBe(Infinity);
        }
        else {
            expect(slack).toBeCloseTo(expected, 6);
        }
    });
});
