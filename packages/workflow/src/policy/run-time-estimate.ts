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
    /**
     * Standard deviation of the logarithm of actual by predicted run times, learned for the kind; undefined where the
     * prediction rests on the declaration alone.
     */
    readonly spread: (subject: RunTimeSubject) => number | undefined;
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

/** Mean squared errors of the logarithms of the predictions for one kind. */
interface KindErrors {
    /** Of predictions for steps with recorded runs. */
    ofOwnRuns: number;
    /** Of predictions for steps without, from declarations and other steps. */
    ofKind: number;
    /** Number of predictions for steps without recorded runs. */
    kindCount: number;
}
/** Errors that are assumed at first: declarations are off by a factor of 2, and tasks of one step by half of that. */
const initialErrors: KindErrors = { ofOwnRuns: 0.35 ** 2, ofKind: 0.8 ** 2, kindCount: 0 };
/** Weight of a new error in the mean. */
const errorWeight = 0.05;
/** Largest squared error that is counted, so that runs on slow workers don't hide that these are slow. */
const maxError = 1;
/** Steps of a kind whose runs have to be known before it tells how long another one takes. */
const minKindCount = 5;

/** Creates an estimate that returns the declarations until runs have been recorded. */
export const createRunTimeEstimate = (): RunTimeEstimate => {
    /** Actual by declared run time, by kind. */
    const ratios = createQuantileEstimate({ quantile: 0.5 });
    const times = createQuantileEstimate({ quantile: 0.5 });
    const steps = new Map<string, RecordedRuns>();
    const errors = new Map<string, KindErrors>();
    const recordError = ({ kind, stepKey }: RunTimeSubject, predicted: number, actual: number): void => {
        const known = errors.get(kind) ?? { ...initialErrors };
        errors.set(kind, known);
        const squared = predicted > 0 && actual > 0 ? Math.min(maxError, Math.log(actual / predicted) ** 2) : 0;
        if (steps.has(stepKey)) {
            known.ofOwnRuns += (squared - known.ofOwnRuns) * errorWeight;
        }
        else {
            known.ofKind += (squared - known.ofKind) * errorWeight;
            known.kindCount += 1;
        }
    };
    const predict: RunTimeEstimate["predict"] = ({ kind, stepKey, declared }) => {
        const runs = steps.get(stepKey);
        if (runs !== undefined) {
            return runs.mean;
        }
        const corrected = declared * ratios.predict(kind, kind, 1);
        const usual = times.predict(kind, kind, corrected);
        return corrected > 0 ? corrected ** (1 - kindWeight) * usual ** kindWeight : usual;
    };
    return {
        record: (subject, actual) => {
            const { kind, stepKey, declared } = subject;
            recordError(subject, predict(subject), actual);
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
        predict,
        spread: ({ kind, stepKey }) => {
            const { ofOwnRuns, ofKind, kindCount } = errors.get(kind) ?? initialErrors;
            const count = steps.get(stepKey)?.count ?? 0;
            return count > 0
                ? Math.sqrt(ofOwnRuns * (1 + 1 / count))
                : kindCount >= minKindCount
                ? Math.sqrt(ofKind)
                : undefined;
        },
    };
};
