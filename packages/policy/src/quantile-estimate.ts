/** Learned sizes (seconds or GB) of tasks, by job and by batch class, where declarations may be far off. */
export interface QuantileEstimate {
    /** Learns what one finished task took. */
    readonly record: (job: string, batchClass: string, actual: number) => void;
    /** What a task of the job takes: learned from the job, else from its class, else as declared. */
    readonly predict: (job: string, batchClass: string, declared: number) => number;
}

/** Options of {@link createQuantileEstimate}. */
export interface QuantileEstimateOptions {
    /** Quantile of what was seen that predictions use. Default 0.9. */
    readonly quantile?: number;
    /** Latest values that are kept for each job and class. Default 64. */
    readonly window?: number;
    /** Jobs that are remembered. Default 512. */
    readonly jobLimit?: number;
}

interface Seen {
    readonly values: number[];
    count: number;
    learned: number;
}

const enoughOfJob = 5;
const enoughOfClass = 20;
const relearnEvery = 8;

/** Creates an estimate that trusts declarations until it has seen enough. */
export const createQuantileEstimate = (
    { quantile = 0.9, window = 64, jobLimit: jobs = 512 }: QuantileEstimateOptions = {},
): QuantileEstimate => {
    const byJob = new Map<string, Seen>();
    const byClass = new Map<string, Seen>();
    const add = (all: Map<string, Seen>, key: string, actual: number): void => {
        const seen = all.get(key) ?? { values: [], count: 0, learned: 0 };
        all.set(key, seen);
        seen.values[seen.count % window] = actual;
        seen.count += 1;
        if (seen.count <= enoughOfClass || seen.count % relearnEvery === 0) {
            const sorted = [...seen.values].sort((left, right) => left - right);
            seen.learned = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? actual;
        }
    };
    const forgetOldest = (): void => {
        const [oldest] = byJob.keys();
        if (byJob.size > jobs && oldest !== undefined) {
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
            if (own !== undefined && own.count >= enoughOfJob) {
                return own.learned;
            }
            const shared = byClass.get(batchClass);
            return shared !== undefined && shared.count >= enoughOfClass ? shared.learned : declared;
        },
    };
};
