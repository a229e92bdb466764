import fc from "fast-check";

import type { RandomRunOptions, RandomStep } from "./simulate-random-run.js";
import { simulateRandomRun } from "./simulate-random-run.js";

const selector = fc.nat({ max: 10_000 });
const hostStep = fc.record({
    kind: fc.constantFrom("kill-host" as const, "pause-host" as const, "resume-host" as const),
    which: selector,
});
const workerStep = fc.record({
    kind: fc.constantFrom(
        "kill-worker" as const,
        "restart-worker" as const,
        "pause-worker" as const,
        "resume-worker" as const,
    ),
    which: selector,
});
const faultStep = fc.record({
    kind: fc.constantFrom(
        "lose-replies" as const,
        "delay-tasks" as const,
        "drop-tasks" as const,
        "store-outage" as const,
        "store-loses-replies" as const,
    ),
});
const otherStep = fc.record({ kind: fc.constantFrom("start-host" as const, "heal" as const) });
const waitStep = fc.record({ kind: fc.constant("wait" as const), which: selector });
const steps: fc.Arbitrary<RandomStep[]> = fc.array(
    fc.oneof(hostStep, workerStep, faultStep, otherStep, { weight: 3, arbitrary: waitStep }),
    { minLength: 4, maxLength: 16 },
);

/** Options of {@link findViolation}. */
export interface ViolationSearch extends Omit<RandomRunOptions, "steps"> {
    /** Number of random runs. */
    readonly runs: number;
    /** Whether the steps of a violation are shrunk to a minimal list. Default false. */
    readonly shouldShrink?: boolean;
}

/** Simulates random runs; returns the first violation with its steps, or undefined if there is none. */
export const findViolation = async (
    { runs, shouldShrink = false, ...runOptions }: ViolationSearch,
): Promise<string | undefined> => {
    const outcome = await fc.check(
        fc.asyncProperty(steps, async drawnSteps => {
            const [violation] = await simulateRandomRun({ ...runOptions, steps: drawnSteps });
            if (violation !== undefined) {
                throw new Error(`${violation.promise}: ${violation.evidence}`);
            }
        }),
        { seed: runOptions.seed, numRuns: runs, endOnFailure: !shouldShrink },
    );
    if (!outcome.failed) {
        return undefined;
    }
    const message = outcome.errorInstance instanceof Error
        ? outcome.errorInstance.message
        : String(outcome.errorInstance);
    return `${message}; steps ${JSON.stringify(outcome.counterexample?.[0])}`;
};
