import type { JobId, WorkerId } from "@jayfront/world";

/** Tells workers that fail everything from jobs that fail everywhere, and takes the former out of use for a time. */
export interface WorkerHealth {
    readonly recordStart: (worker: WorkerId) => void;
    readonly recordEnd: (worker: WorkerId, job: JobId, isFailure: boolean) => void;
    /** Starts that `worker` may get now: 0 in quarantine, 1 while it is probed. */
    readonly allowance: (worker: WorkerId) => number;
    readonly isQuarantined: (worker: WorkerId) => boolean;
    /** Whether `job` fails on workers that other jobs succeed on. */
    readonly isPoison: (job: JobId) => boolean;
    readonly removeWorker: (worker: WorkerId) => void;
}

/** Options of {@link createWorkerHealth}. */
export interface WorkerHealthOptions {
    /** Failures without a success between them that bring a worker into quarantine. Default 4. */
    readonly failureLimit?: number;
    /** Failures without a success between them from which a worker gets few starts at a time. Default 1. */
    readonly suspectLimit?: number;
    /** Milliseconds of the first quarantine; doubled for each that follows without a success. Default 30,000. */
    readonly quarantine?: number;
    /** Longest quarantine in milliseconds. Default 600,000. */
    readonly quarantineLimit?: number;
    /** Share of workers that may be in quarantine at a time; one may be in any case. Default 0.34. */
    readonly quarantinedShare?: number;
    /** Starts within {@link WorkerHealthOptions.startWindow} that a worker gets before it has shown successes. Default 6. */
    readonly initialStartLimit?: number;
    /** Milliseconds over which starts and successes are counted. Default 2,000. */
    readonly startWindow?: number;
}

interface WorkerRecord {
    failuresInRow: number;
    /** Jobs whose tasks failed since the last success. */
    failedJobs: Set<JobId>;
    quarantines: number;
    quarantinedUntil: number;
    isProbing: boolean;
    startsInWindow: number;
    successesInWindow: number;
    windowStartedAt: number;
}

interface JobRecord {
    failedOn: Set<WorkerId>;
    successes: number;
}

const poisonWorkers = 3;
const probeAllowance = 1;
const suspectAllowance = 2;

/** Creates a record in which every worker is healthy. */
export const createWorkerHealth = ({
    failureLimit = 4,
    suspectLimit = 1,
    quarantine = 30_000,
    quarantineLimit = 600_000,
    quarantinedShare = 0.34,
    initialStartLimit: startLimit = 6,
    startWindow = 2_000,
}: WorkerHealthOptions = {}): WorkerHealth => {
    const workers = new Map<WorkerId, WorkerRecord>();
    const jobs = new Map<JobId, JobRecord>();
    const workerRecord = (worker: WorkerId): WorkerRecord => {
        const known = workers.get(worker);
        if (known !== undefined) {
            return known;
        }
        const created: WorkerRecord = {
            failuresInRow: 0,
            failedJobs: new Set(),
            quarantines: 0,
            quarantinedUntil: 0,
            isProbing: false,
            startsInWindow: 0,
            successesInWindow: 0,
            windowStartedAt: performance.now(),
        };
        workers.set(worker, created);
        return created;
    };
    const jobRecord = (job: JobId): JobRecord => {
        const known = jobs.get(job) ?? { failedOn: new Set(), successes: 0 };
        jobs.set(job, known);
        return known;
    };
    const isQuarantined = (worker: WorkerId): boolean =>
        (workers.get(worker)?.quarantinedUntil ?? 0) > performance.now();
    const isPoison = (job: JobId): boolean => {
        const record = jobs.get(job);
        return record !== undefined && record.successes === 0 && record.failedOn.size >= poisonWorkers;
    };
    const mayQuarantine = (): boolean => {
        const out = [...workers.keys()].filter(isQuarantined).length;
        return out < Math.max(1, Math.floor(workers.size * quarantinedShare));
    };
    const beginQuarantine = (record: WorkerRecord): void => {
        const length = Math.min(quarantineLimit, quarantine * 2 ** record.quarantines);
        record.quarantines += 1;
        record.quarantinedUntil = performance.now() + length;
        record.isProbing = true;
        record.failuresInRow = 0;
    };
    const recordFailure = (worker: WorkerId, job: JobId): void => {
        const record = workerRecord(worker);
        jobRecord(job).failedOn.add(worker);
        if (isPoison(job) && record.failedJobs.size <= 1) {
            // The job fails everywhere, so its failures say nothing about the worker.
            return;
        }
        record.failuresInRow += 1;
        record.failedJobs.add(job);
        const limit = record.isProbing ? 1 : failureLimit;
        if (record.failuresInRow >= limit && !isQuarantined(worker) && mayQuarantine()) {
            beginQuarantine(record);
        }
    };
    const recordSuccess = (worker: WorkerId, job: JobId): void => {
        const record = workerRecord(worker);
        jobRecord(job).successes += 1;
        record.failuresInRow = 0;
        record.failedJobs.clear();
        record.quarantines = 0;
        record.isProbing = false;
        record.successesInWindow += 1;
    };
    const rollWindow = (record: WorkerRecord): void => {
        if (performance.now() - record.windowStartedAt >= startWindow) {
            record.windowStartedAt = performance.now();
            record.startsInWindow = 0;
            record.successesInWindow = 0;
        }
    };
    return {
        recordStart: worker => {
            const record = workerRecord(worker);
            rollWindow(record);
            record.startsInWindow += 1;
        },
        recordEnd: (worker, job, isFailure) => {
            rollWindow(workerRecord(worker));
            (isFailure ? recordFailure : recordSuccess)(worker, job);
        },
        allowance: worker => {
            const record = workerRecord(worker);
            if (isQuarantined(worker)) {
                return 0;
            }
            rollWindow(record);
            const cap = record.isProbing
                ? probeAllowance
                : record.failuresInRow >= suspectLimit
                ? suspectAllowance
                : startLimit + 2 * record.successesInWindow;
            return Math.max(0, cap - record.startsInWindow);
        },
        isQuarantined,
        isPoison,
        removeWorker: worker => {
            workers.delete(worker);
        },
    };
};
