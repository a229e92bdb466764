/**
 * Quantiles of a quantity of tasks, such as run time in seconds or memory in GB, learned by job and by batch class
 * because declared values may be far off.
 */
export interface QuantileEstimate {
    /** Learns the actual value of one finished task. */
    readonly record: (job: string, batchClass: string, actual: number) => void;
    /** Expected value for a task: learned from its job, else from its class, else the declared one. */
    readonly predict: (job: string, batchClass: string, declared: number) => number;
}

/** Options of {@link createQuantileEstimate}. */
export interface QuantileEstimateOptions {
    /** Quantile of the recorded values that predictions return, from 0 to 1. Default 0.9. */
    readonly quantile?: number;
    /** Number of latest values kept for each job and each class. Default 64. */
    readonly window?: number;
    /** Number of jobs kept; the oldest is dropped first. Default 512. */
    readonly jobLimit?: number;
}

interface RecordedValues {
    readonly values: number[];
    count: number;
    estimate: number;
}

/** Values of a job from which its quantile is used. */
const minimumJobValues = 5;
/** Values of a class from which its quantile is used. */
const minimumClassValues = 20;
/** Values after which a quantile is computed anew, once there are more than {@link minimumClassValues}. */
const recomputeInterval = 8;

/** Creates an estimate that returns declared values until enough values were recorded. */
export const createQuantileEstimate = (
    { quantile = 0.9, window = 64, jobLimit = 512 }: QuantileEstimateOptions = {},
): QuantileEstimate => {
    const byJob = new Map<string, RecordedValues>();
    const byClass = new Map<string, RecordedValues>();
    const add = (all: Map<string, RecordedValues>, key: string, actual: number): void => {
        const recorded = all.get(key) ?? { values: [], count: 0, estimate: 0 };
        all.set(key, recorded);
        recorded.values[recorded.count % window] = actual;
        recorded.count += 1;
        if (recorded.count <= minimumClassValues || recorded.count % recomputeInterval === 0) {
            const sorted = [...recorded.values].sort((left, right) => left - right);
            recorded.estimate = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? actual;
        }
    };
    const forgetOldest = (): void => {
        const [oldest] = byJob.keys();
        if (byJob.size > jobLimit && oldest !== undefined) {
            byJob.delete(oldest);
        }
    };
    return {
        record: (job, batchClass, actual) => {
            add(byJob, job, actual);
            add(byClass, batchClass, actual);
            forgetOldest();
        },
        predict: (job, batchClass, declared) => {
            const own = byJob.get(job);
            if (own !== undefined && own.count >= minimumJobValues) {
                return own.estimate;
            }
            const shared = byClass.get(batchClass);
            return shared !== undefined && shared.count >= minimumClassValues ? shared.estimate : declared;
        },
    };
};
