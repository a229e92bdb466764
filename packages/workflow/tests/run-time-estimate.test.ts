import { describe, expect, it } from "@jest/globals";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import { createRunTimeEstimate } from "../src/policy/run-time-estimate.js";

/** Steps whose run times differ by a factor of four and whose declarations are off by up to nine tenths, either way. */
const play = (seed: number): { readonly declared: number; readonly estimated: number; readonly seen: number; } => {
    const random = xoroshiro128plus(seed);
    const draw = (): number => uniformFloat64(random);
    const estimate = createRunTimeEstimate();
    const errors = { declared: 0, estimated: 0, seen: 0 };
    for (let number = 0; number < 400; number += 1) {
        const actual = 1_000 * 4 ** (draw() - 0.5);
        const declared = actual * (1 + 0.9 * (2 * draw() - 1));
        const subject = { kind: "batch/0", stepKey: `job-${String(number)}`, declared };
        const isJudged = number >= 50;
        errors.declared += isJudged ? Math.abs(Math.log(declared / actual)) : 0;
        errors.estimated += isJudged ? Math.abs(Math.log(estimate.predict(subject) / actual)) : 0;
        estimate.record(subject, actual * (0.9 + 0.2 * draw()));
        errors.seen += isJudged ? Math.abs(Math.log(estimate.predict(subject) / actual)) : 0;
        estimate.record(subject, actual);
    }
    return errors;
};

describe("expected run times, where declarations are off by up to nine tenths", () => {
    it.each([1, 2, 3])("are nearer than the declarations, and near once a task was seen (seed %i)", seed => {
        const { declared, estimated, seen } = play(seed);
        expect(estimated).toBeLessThan(declared * 0.8);
        expect(seen).toBeLessThan(declared * 0.2);
    });

    it("are the declared ones before anything was seen", () => {
        expect(createRunTimeEstimate().predict({ kind: "k", stepKey: "s", declared: 700 })).toBe(700);
    });
});
