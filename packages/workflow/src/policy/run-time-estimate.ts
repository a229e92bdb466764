import { createQuantileEstimate } from "@jayfront/policy";

/** The step whose run time is recorded or predicted. */
export interface RunTimeSubject {
    /** Group of steps whose declared run times are off by similar factors. */
    readonly kind: string;
    /** Identifies the step; its tasks take about the same time. */
    readonly stepKey: string;
    /** Milliseconds that the submitter expects a task to take; may be off by a factor of several. */
    readonly declared: number;
}

/**
 * Expected run times of tasks: the mean of the step's own runs where there are any, else a mean of the corrected
 * declaration and the usual run time of its kind.
 */
export interface RunTimeEstimate {
    /** Records that a task of the step took `actual` ms at full speed. */
    readonly record: (subject: RunTimeSubject, actual: number) => void;
    /** Milliseconds that a task of the step is expected to take at full speed. */
    readonly predict: (subject: RunTimeSubject) => number;
}

/** Recorded run times of one step. */
interface RecordedRuns {
    count: number;
    mean: number;
}

/** Number of steps whose runs are remembered; the oldest is dropped first. */
const rememberedSteps = 2_000;
/** Weight of the kind's usual run time against the declaration, in logarithms; both are off by about a factor of 2. */
const kindWeight = 0.5;

/** Creates an estimate that returns the declarations until runs have been recorded. */
export const createRunTimeEstimate = (): RunTimeEstimate => {
    /** Actual by declared run time, by kind. */
    const ratios = createQuantileEstimate({ quantile: 0.5 });
    const times = createQuantileEstimate({ quantile: 0.5 });
    const steps = new Map<string, RecordedRuns>();
    return {
        record: ({ kind, stepKey, declared }, actual) => {
            const runs = steps.get(stepKey) ?? { count: 0, mean: 0 };
            runs.count += 1;
            runs.mean += (actual - runs.mean) / runs.count;
            steps.set(stepKey, runs);
            const [oldest] = steps.keys();
            if (steps.size > rememberedSteps && oldest !== undefined) {
                steps.delete(oldest);
            }
            times.record(kind, kind, actual);
            if (declared > 0) {
                ratios.record(kind, kind, actual / declared);
            }
        },
        predict: ({ kind, stepKey, declared }) => {
            const runs = steps.get(stepKey);
            if (runs !== undefined) {
                return runs.mean;
            }
            const corrected = declared * ratios.predict(kind, kind, 1);
            const usual = times.predict(kind, kind, corrected);
            return corrected > 0 ? corrected ** (1 - kindWeight) * usual ** kindWeight : usual;
        },
    };
};
