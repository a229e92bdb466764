import { describe, expect, it } from "@jest/globals";

import type { Interference } from "../src/policy/plan-paces.js";
import { planPaces } from "../src/policy/plan-paces.js";
import { servingSlack } from "../src/policy/serving-slack.js";

const pressure: Interference = (...[, spare]) => spare === "heavy" ? 8 : 0.5;
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

    it("go to what disturbs least first: more work is done for the same loss", () => {
        const paces = planPaces([{ image: "a", ownSpeed: 1.7 }], [heavy, light, light, light, heavy], pressure);
        expect(paces.slice(1, 4)).toEqual([1, 1, 1]);
        expect(paces[0]).toBeCloseTo((1.7 - 1.25 - 3 * 0.05) / 0.8);
        expect(paces[4]).toBe(0);
    });

    it("leave alone what can't be seen to disturb", () => {
        const tiny = { image: "light", share: 0.02 };
        expect(planPaces([{ image: "a", ownSpeed: 1 }], [heavy, tiny], pressure)).toEqual([0, 1]);
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
        ["without serving tasks", [], [], heavy, Infinity, Infinity],
        ["beside nobody", [{ image: "a", ownSpeed: 2 }], [], heavy, 1, 0.2],
        ["beside others", [{ image: "a", ownSpeed: 2 }], [heavy], light, 0.2, 0.15],
        [
            "of the one that needs most",
            [{ image: "a", ownSpeed: 2 }, { image: "b", ownSpeed: 1.5 }],
            [],
            light,
            0.5,
            0.45,
        ],
    ])("%s", (...[, needs, present, added, before, after]) => {
        const slack = servingSlack(needs, present, added, pressure);
        expect([slack.before, slack.after].map(value => value.toFixed(6))).toEqual(
            [before, after].map(value => value.toFixed(6)),
        );
    });
});
