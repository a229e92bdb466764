import { createSizeEstimate } from "@jayfront/policy";

/** What is known of a step whose run time is asked for. */
export interface RunTimeSubject {
    /** Steps whose declarations are off alike. */
    readonly kind: string;
    /** The step itself: its tasks take about the same time. */
    readonly stepKey: string;
    /** Milliseconds that the submitter expects; may be off by a factor of some. */
    readonly declared: number;
}

/** Expected run times of tasks: as seen of the step itself, else between its declaration and what its kind takes. */
export interface RunTimeEstimate {
    /** A task of the step took `actual` ms at full speed. */
    readonly record: (subject: RunTimeSubject, actual: number) => void;
    /** Milliseconds. */
    readonly predict: (subject: RunTimeSubject) => number;
}

interface Seen {
    count: number;
    mean: number;
}

/** Steps that are remembered. */
const rememberedStages = 2_000;
/** Weight of what its kind takes against a step's own declaration, in logarithms: both are off by about a factor of two. */
const kindWeight = 0.5;

/** Creates an estimate that trusts declarations until it has seen enough. */
export const createRunTimeEstimate = (): RunTimeEstimate => {
    const ratios = createSizeEstimate({ quantile: 0.5 });
    const times = createSizeEstimate({ quantile: 0.5 });
    const stages = new Map<string, Seen>();
    return {
        record: ({ kind, stepKey: stage, declared }, actual) => {
            const seen = stages.get(stage) ?? { count: 0, mean: 0 };
            seen.count += 1;
            seen.mean += (actual - seen.mean) / seen.count;
            stages.set(stage, seen);
            const [oldest] = stages.keys();
            if (stages.size > rememberedStages && oldest !== undefined) {
                stages.delete(oldest);
            }
            times.record(kind, kind, actual);
            if (declared > 0) {
                ratios.record(kind, kind, actual / declared);
            }
        },
        predict: ({ kind, stepKey: stage, declared }) => {
            const seen = stages.get(stage);
            if (seen !== undefined) {
                return seen.mean;
            }
            const own = declared * ratios.predict(kind, kind, 1);
            const usual = times.predict(kind, kind, own);
            return own > 0 ? own ** (1 - kindWeight) * usual ** kindWeight : usual;
        },
    };
};
