import type { Resources, WorkerId } from "@jayfront/world";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Index of usable workers by free cores, so that candidates are found without a scan of all workers. */
export interface WorkerIndex {
    /** Adds a worker or updates its free resources. */
    readonly put: (worker: WorkerId, free: Resources) => void;
    /** Removes a worker; ignored where it is not in the index. */
    readonly remove: (worker: WorkerId) => void;
    /** Up to `count` random workers that may have the cores of `needed`; the caller checks whether `needed` fits. */
    readonly sample: (needed: Resources, count: number) => readonly WorkerId[];
    /** Number of workers in the index. */
    readonly size: () => number;
}

interface Bucket {
    readonly workers: WorkerId[];
    /** Position of each worker in `workers`. */
    readonly positions: Map<WorkerId, number>;
}

const bucketCount = 64;

/** Index of the bucket for `cores`, rounded down: one per whole core up to 31, then one per power of two. */
const bucketIndexOf = (cores: number): number => {
    const wholeCores = Math.max(0, Math.floor(cores + 1e-9));
    return wholeCores < 32 ? wholeCores : Math.min(bucketCount - 1, 27 + Math.floor(Math.log2(wholeCores)));
};

/** Creates an empty index. */
export const createWorkerIndex = (random: RandomGenerator): WorkerIndex => {
    const buckets: Bucket[] = Array.from({ length: bucketCount }, () => ({ workers: [], positions: new Map() }));
    const bucketIndexByWorker = new Map<WorkerId, number>();
    const remove = (worker: WorkerId): void => {
        const bucket = buckets[bucketIndexByWorker.get(worker) ?? -1];
        const position = bucket?.positions.get(worker);
        if (bucket === undefined || position === undefined) {
            return;
        }
        const last = bucket.workers.pop();
        if (last !== undefined && last !== worker) {
            bucket.workers[position] = last;
            bucket.positions.set(last, position);
        }
        bucket.positions.delete(worker);
        bucketIndexByWorker.delete(worker);
    };
    return {
        put: (worker, free) => {
            const bucketIndex = bucketIndexOf(free.cores);
            if (bucketIndexByWorker.get(worker) === bucketIndex) {
                return;
            }
            remove(worker);
            const bucket = buckets[bucketIndex];
            if (bucket !== undefined) {
                bucket.positions.set(worker, bucket.workers.length);
                bucket.workers.push(worker);
                bucketIndexByWorker.set(worker, bucketIndex);
            }
        },
        remove,
        sample: (needed, count) => {
            const eligible = buckets.slice(bucketIndexOf(needed.cores));
            const total = eligible.reduce((sum, bucket) => sum + bucket.workers.length, 0);
            if (total <= count) {
                return eligible.flatMap(bucket => bucket.workers);
            }
            const drawn = new Set<WorkerId>();
            for (let attempt = 0; attempt < count; attempt += 1) {
                let position = uniformInt(random, 0, total - 1);
                for (const bucket of eligible) {
                    const worker = bucket.workers[position];
                    if (worker !== undefined) {
                        drawn.add(worker);
                        break;
                    }
                    position -= bucket.workers.length;
                }
            }
            return [...drawn];
        },
        size: () => bucketIndexByWorker.size,
    };
};
