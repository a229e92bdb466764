import type { WorkerId } from "@jayfront/world";

/** How long a part of a run took on a worker, compared with what was expected. */
export interface SpeedSample {
    /** Identifies the run; its later sample replaces the earlier one, since a run's own size affects all of its parts. */
    readonly run: object;
    /** Time that the part took by the time that was expected; above 1 where it took longer. */
    readonly slowness: number;
    /** Standard deviation of the logarithm of `slowness` among sound workers. */
    readonly spread: number;
}

/** A worker that was found slow, or that works at its normal speed again. */
export interface SpeedChange {
    readonly worker: WorkerId;
    /** See {@link WorkerSpeeds.speedOf}; as estimated now. */
    readonly speed: number;
    readonly isSlow: boolean;
    /** Number of runs that the estimate is based on. */
    readonly samples: number;
}

/**
 * Relative speeds of workers, estimated from their runs. A worker counts as slow only where the estimate is beyond what
 * chance explains; all others have the speed 1, so that nothing changes among workers that differ by chance.
 */
export interface WorkerSpeeds {
    readonly record: (worker: WorkerId, sample: SpeedSample) => void;
    /** Decides anew which workers are slow; returns the changes. */
    readonly review: () => readonly SpeedChange[];
    /** Speed relative to the usual worker: 1 unless the worker was found slow at the last review, then below 1. */
    readonly speedOf: (worker: WorkerId) => number;
    /** Milliseconds since the last sample of the worker; Infinity where there is none. */
    readonly sampleAge: (worker: WorkerId) => number;
    /** Number of slow workers. */
    readonly slowCount: () => number;
    /** Forgets a worker whose life has ended; returns whether it was slow. */
    readonly forget: (worker: WorkerId) => boolean;
}

/** Slowness from which a worker is slow: a run that takes twice as long misses objectives of the usual slack. */
const slowBound = Math.log(2);
/** Slowness below which a slow worker is sound again: within the usual slack factor of objectives. */
const soundBound = Math.log(1.5);
/** Weight of the assumption that a worker is normal; that of four runs with a spread of a factor of e. */
const priorWeight = 4;
/** Least spread of a sample; declared and measured times are never closer. */
const minSpread = 0.3;
/** Largest slowness of a sample; beyond it, a run that stands still would outweigh all others. */
const maxSlowness = 10;
/** Runs of a worker that are remembered; enough to tell a slow worker, few enough to notice that it has recovered. */
const rememberedRuns = 4;
/** Milliseconds by which a sample is older than the worker's newest one when it counts half; a few run times. */
const halfLife = 2_000;

interface WeightedSample {
    readonly run: object;
    readonly slowness: number;
    readonly weight: number;
    /** Monotonic time in ms. */
    readonly at: number;
}

/** Logarithms of a worker's slowness. */
interface Estimate {
    /** Mean of the samples. */
    readonly mean: number;
    /** The mean shrunk to 0 with few samples. */
    readonly shrunk: number;
}

/** `samples`: the newest is last. */
const estimate = (samples: readonly WeightedSample[]): Estimate => {
    const newest = samples.at(-1)?.at ?? 0;
    let sum = 0;
    let weights = 0;
    for (const { slowness, weight, at } of samples) {
        const aged = weight * 0.5 ** ((newest - at) / halfLife);
        sum += aged * slowness;
        weights += aged;
    }
    return { mean: sum / weights, shrunk: sum / (weights + priorWeight) };
};
/** The lower median, so that the one sound of two workers is the usual one. */
const medianOf = (values: readonly number[]): number =>
    [...values].sort((left, right) => left - right)[Math.floor((values.length - 1) / 2)] ?? 0;

/** Creates speeds without samples, so that every worker is normal. */
export const createWorkerSpeeds = (): WorkerSpeeds => {
    const samplesByWorker = new Map<WorkerId, readonly WeightedSample[]>();
    /** Speeds of the slow workers. */
    const slow = new Map<WorkerId, number>();
    return {
        record: (worker, { run, slowness, spread }) => {
            const bounded = Math.min(maxSlowness, Math.max(1 / maxSlowness, slowness));
            const sample = {
                run,
                slowness: Math.log(bounded),
                weight: Math.max(minSpread, spread) ** -2,
                at: performance.now(),
            };
            const others = (samplesByWorker.get(worker) ?? []).filter(other => other.run !== run);
            samplesByWorker.set(worker, [...others.slice(1 - rememberedRuns), sample]);
        },
        review: () => {
            const estimates = [...samplesByWorker].map(([worker, samples]) => ({
                worker,
                samples: samples.length,
                ...estimate(samples),
            }));
            // If most workers seem slow, the expected times or the reports' delays are wrong, not the workers.
            const usual = medianOf(estimates.map(({ shrunk }) => shrunk));
            const changes: SpeedChange[] = [];
            for (const { worker, samples, mean, shrunk } of estimates) {
                const wasSlow = slow.has(worker);
                const isSlow = shrunk - usual >= (wasSlow ? soundBound : slowBound);
                const speed = Math.exp(usual - mean);
                if (isSlow) {
                    slow.set(worker, speed);
                }
                else {
                    slow.delete(worker);
                }
                if (isSlow !== wasSlow) {
                    changes.push({ worker, speed, isSlow, samples });
                }
            }
            return changes;
        },
        speedOf: worker => slow.get(worker) ?? 1,
        sampleAge: worker => performance.now() - (samplesByWorker.get(worker)?.at(-1)?.at ?? -Infinity),
        slowCount: () => slow.size,
        forget: worker => {
            samplesByWorker.delete(worker);
            return slow.delete(worker);
        },
    };
};
