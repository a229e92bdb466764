import fc from "fast-check";

import type { RandomRunOptions, RandomStep } from "./simulate-random-run.js";
import { simulateRandomRun } from "./simulate-random-run.js";

const which = fc.nat({ max: 10_000 });
const hostStep = fc.record({
    kind: fc.constantFrom("kill-host" as const, "pause-host" as const, "resume-host" as const),
    which,
});
const workerStep = fc.record({
    kind: fc.constantFrom(
        "kill-worker" as const,
        "restart-worker" as const,
        "pause-worker" as const,
        "resume-worker" as const,
    ),
    which,
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
const waitStep = fc.record({ kind: fc.constant("wait" as const), which });
const steps: fc.Arbitrary<RandomStep[]> = fc.array(
    fc.oneof(hostStep, workerStep, faultStep, otherStep, { weight: 3, arbitrary: waitStep }),
    { minLength: 4, maxLength: 16 },
);

/** What to search and how long. */
export interface ViolationSearch extends Omit<RandomRunOptions, "steps"> {
    /** Random runs that are played. */
    readonly runs: number;
    /** Whether a counterexample is made smaller. Default false. */
    readonly shouldShrink?: boolean;
}

/** Plays random runs; answers the first violation with the steps that show it, or undefined. */
export const findViolation = async (
    { runs, shouldShrink: shrinks = false, ...planted }: ViolationSearch,
): Promise<string | undefined> => {
    const details = await fc.check(
        fc.asyncProperty(steps, async drawn => {
            const [violation] = await simulateRandomRun({ ...planted, steps: drawn });
            if (violation !== undefined) {
                throw new Error(`${violation.promise}: ${violation.evidence}`);
            }
        }),
        { seed: planted.seed, numRuns: runs, endOnFailure: !shrinks },
    );
    if (!details.failed) {
        return undefined;
    }
    const cause = details.errorInstance instanceof Error
        ? details.errorInstance.message
        : String(details.errorInstance);
    return `${cause}; steps ${JSON.stringify(details.counterexample?.[0])}`;
};
