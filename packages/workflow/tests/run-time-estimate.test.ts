import { describe, expect, it } from "@jest/globals";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import { createRunTimeEstimate } from "../src/policy/run-time-estimate.js";

/**
 * Simulates steps whose run times differ by a factor of up to 4 and whose declarations are off by up to 90% either way.
 * Returns sums of absolute logarithmic errors: of the declarations, the estimates, and the estimates after one run.
 */
const simulate = (
    seed: number,
): { readonly declared: number; readonly estimated: number; readonly afterOneRun: number; } => {
    const random = xoroshiro128plus(seed);
    const draw = (): number => uniformFloat64(random);
    const estimate = createRunTimeEstimate();
    const errors = { declared: 0, estimated: 0, afterOneRun: 0 };
    for (let number = 0; number < 400; number += 1) {
        const actual = 1_000 * 4 ** (draw() - 0.5);
        const declared = actual * (1 + 0.9 * (2 * draw() - 1));
        const subject = { kind: "batch/0", stepKey: `job-${String(number)}`, declared };
        const counts = number >= 50;
        errors.declared += counts ? Math.abs(Math.log(declared / actual)) : 0;
        errors.estimated += counts ? Math.abs(Math.log(estimate.predict(subject) / actual)) : 0;
        estimate.record(subject, actual * (0.9 + 0.2 * draw()));
        errors.afterOneRun += counts ? Math.abs(Math.log(estimate.predict(subject) / actual)) : 0;
        estimate.record(subject, actual);
    }
    return errors;
};

describe("expected run times, where declarations are off by up to 90%", () => {
    it.each([1, 2, 3])("are closer than the declarations, and much closer after one run (seed %i)", seed => {
        const { declared, estimated, afterOneRun } = simulate(seed);
        expect(estimated).toBeLessThan(declared * 0.8);
        expect(afterOneRun).toBeLessThan(declared * 0.2);
    });

    // Guards against workers that count as slow by what is only the variation of a kind.
    it("tell how far they are off, learned for each kind", () => {
        const estimate = createRunTimeEstimate();
        const subjectOf = (kind: string, number: number) => ({
            kind,
            stepKey: `${kind}${String(number)}`,
            declared: 700,
        });
        expect(estimate.spread(subjectOf("even", 0))).toBeUndefined();
        for (let number = 0; number < 50; number += 1) {
            [700, 700, 700].forEach(actual => {
                estimate.record(subjectOf("even", number), actual);
            });
            [300, 1_800, 700].forEach(actual => {
                estimate.record(subjectOf("uneven", number), actual * (1 + number % 5));
            });
        }
        const spreads = ["even", "uneven"].map(kind => estimate.spread(subjectOf(kind, 1)) ?? 0);
        expect(spreads[0]).toBeLessThan(0.1);
        expect(spreads[1]).toBeGreaterThan(0.7);
    });

    it("equal the declarations before any run", () => {
        expect(createRunTimeEstimate().predict({ kind: "k", stepKey: "s", declared: 700 })).toBe(700);
    });
});
