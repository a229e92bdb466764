import { describe, expect, it } from "@jest/globals";

import { createStep } from "../src/model/create-step.js";
import { remainingPaths } from "../src/policy/remaining-paths.js";
import type { Urgency } from "../src/policy/urgency.js";
import { compareUrgency } from "../src/policy/urgency.js";

const urgency = (changes: Partial<Urgency>): Urgency => ({
    lasting: "no",
    priority: 1,
    laxity: 500,
    expiryLaxity: 5_000,
    ...changes,
});

describe("compareUrgency", () => {
    it.each<[string, Partial<Urgency>, Partial<Urgency>]>([
        ["long-running tasks that lost their run before all else", { lasting: "again", priority: 2 }, { priority: 0 }],
        ["the first task of a long-running step before urgent work", { lasting: "first", priority: 2 }, {
            priority: 0,
        }],
        ["long-running tasks without a run before those that still run on draining workers", {
            lasting: "again",
            priority: 2,
        }, { lasting: "leaving", priority: 0 }],
        ["long-running tasks of draining workers before urgent work", { lasting: "leaving", priority: 2 }, {
            priority: 0,
        }],
        ["urgent work in time before new long-running tasks", { priority: 0 }, { lasting: "new", priority: 0 }],
        ["new long-running tasks before other work in time", { lasting: "new", priority: 2 }, { priority: 1 }],
        ["lower priority numbers first", { priority: 0, laxity: 900 }, { priority: 1, laxity: 100 }],
        ["lower laxity first within a priority", { laxity: 100 }, { laxity: 900 }],
        ["work in time before work that is late", { laxity: 10, priority: 2 }, { laxity: -10, priority: 0 }],
        ["late work that becomes useless soonest first", { laxity: -10, expiryLaxity: 100 }, {
            laxity: -900,
            expiryLaxity: 4_000,
        }],
        ["late work before useless work", { laxity: -10, priority: 2 }, {
            laxity: -10,
            expiryLaxity: -1,
            priority: 0,
        }],
    ])("puts %s", (...[, first, second]) => {
        expect(compareUrgency(urgency(first), urgency(second))).toBeLessThan(0);
        expect(compareUrgency(urgency(second), urgency(first))).toBeGreaterThan(0);
    });
});

describe("chains of dependent steps", () => {
    const steps = [
        createStep({ expectedRunTime: 100 }),
        createStep({ expectedRunTime: 300 }),
        createStep({ expectedRunTime: 50, after: [0, 1] }),
        createStep({ expectedRunTime: 10, after: [0] }),
    ];
    const runTime = (step: { expectedRunTime: number; }): number => step.expectedRunTime;

    it("take the time of the longest one that begins with each step", () => {
        expect(remainingPaths(steps, runTime)).toEqual([150, 350, 50, 10]);
    });

    // Guards against a job that keeps each host in turn busy for minutes, since each chain was followed by itself (review/6).
    it("are found with one look at each step, also if each depends on all earlier ones", () => {
        const wide = Array.from(
            { length: 120 },
            (...[, number]) => createStep({ expectedRunTime: 100, after: [...Array(number).keys()] }),
        );
        let looks = 0;
        const paths = remainingPaths(wide, step => {
            looks += 1;
            return step.expectedRunTime;
        });
        expect([looks, paths[0], paths.at(-1)]).toEqual([120, 12_000, 100]);
    });
});
