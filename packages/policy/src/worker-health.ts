import type { JobId, WorkerId } from "@jayfront/world";

/**
 * Distinguishes workers on which all tasks fail from jobs that fail on all workers (poison jobs), and quarantines the
 * former.
 */
export interface WorkerHealth {
    /** Counts a start on the worker. */
    readonly recordStart: (worker: WorkerId) => void;
    /** Counts the end of an attempt of a task of the job. */
    readonly recordEnd: (worker: WorkerId, job: JobId, isFailure: boolean) => void;
    /** Number of starts that `worker` may get now: 0 in quarantine, at most 1 while it is probed after that. */
    readonly allowance: (worker: WorkerId) => number;
    /** Whether the worker is in quarantine now. */
    readonly isQuarantined: (worker: WorkerId) => boolean;
    /** Whether `job` is a poison job: it has failed on several workers and succeeded on none. */
    readonly isPoison: (job: JobId) => boolean;
    /** Removes the records of a worker. */
    readonly removeWorker: (worker: WorkerId) => void;
    /** Removes the record of a job that has ended. */
    readonly removeJob: (job: JobId) => void;
}

/** Options of {@link createWorkerHealth}. */
export interface WorkerHealthOptions {
    /** Consecutive failures after which a worker is quarantined; one is enough while it is probed. Default 4. */
    readonly failureLimit?: number;
    /** Consecutive failures from which a worker is suspect and gets few starts per window. Default 1. */
    readonly suspectLimit?: number;
    /**
     * Length of the first quarantine in milliseconds. Each further one without a success between takes twice as long.
     * Default 30,000.
     */
    readonly firstQuarantine?: number;
    /** Longest quarantine in milliseconds. Default 600,000. */
    readonly longestQuarantine?: number;
    /** Largest share of workers in quarantine at a time; one is always allowed. Default 0.34. */
    readonly quarantinedShare?: number;
    /**
     * Starts within {@link WorkerHealthOptions.startWindow} that a worker gets without a success in it; each success
     * allows two more. Default 6.
     */
    readonly initialStartLimit?: number;
    /** Window in milliseconds over which starts and successes are counted. Default 2,000. */
    readonly startWindow?: number;
}

interface WorkerRecord {
    consecutiveFailures: number;
    /** Jobs whose tasks failed since the last success. */
    failedJobs: Set<JobId>;
    /** Quarantines since the last success. */
    quarantines: number;
    /** Monotonic time in milliseconds. */
    quarantinedUntil: number;
    /** Whether the worker was quarantined since its last success; one more failure then quarantines it again. */
    isProbing: boolean;
    startsInWindow: number;
    successesInWindow: number;
    /** Monotonic time in milliseconds. */
    windowStartedAt: number;
}

interface JobRecord {
    /** Workers on which tasks of the job failed. */
    failedOn: Set<WorkerId>;
    successes: number;
}

/** Workers on which a job must have failed to be a poison job. */
const poisonWorkerCount = 3;
/** Starts per window of a worker that is probed. */
const probeAllowance = 1;
/** Starts per window of a suspect worker. */
const suspectAllowance = 2;

/** Creates a record in which every worker is healthy. */
export const createWorkerHealth = ({
    failureLimit = 4,
    suspectLimit = 1,
    firstQuarantine = 30_000,
    longestQuarantine = 600_000,
    quarantinedShare = 0.34,
    initialStartLimit = 6,
    startWindow = 2_000,
}: WorkerHealthOptions = {}): WorkerHealth => {
    const workers = new Map<WorkerId, WorkerRecord>();
    const jobs = new Map<JobId, JobRecord>();
    const workerRecord = (worker: WorkerId): WorkerRecord => {
        const existing = workers.get(worker);
        if (existing !== undefined) {
            return existing;
        }
        const created: WorkerRecord = {
            consecutiveFailures: 0,
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
        const record = jobs.get(job) ?? { failedOn: new Set(), successes: 0 };
        jobs.set(job, record);
        return record;
    };
    const isQuarantined = (worker: WorkerId): boolean =>
        (workers.get(worker)?.quarantinedUntil ?? 0) > performance.now();
    const isPoison = (job: JobId): boolean => {
        const record = jobs.get(job);
        return record !== undefined && record.successes === 0 && record.failedOn.size >= poisonWorkerCount;
    };
    const mayQuarantine = (): boolean => {
        const quarantinedCount = [...workers.keys()].filter(isQuarantined).length;
        return quarantinedCount < Math.max(1, Math.floor(workers.size * quarantinedShare));
    };
    const beginQuarantine = (record: WorkerRecord): void => {
        const duration = Math.min(longestQuarantine, firstQuarantine * 2 ** record.quarantines);
        record.quarantines += 1;
        record.quarantinedUntil = performance.now() + duration;
        record.isProbing = true;
        record.consecutiveFailures = 0;
    };
    const recordFailure = (worker: WorkerId, job: JobId): void => {
        const record = workerRecord(worker);
        jobRecord(job).failedOn.add(worker);
        if (isPoison(job) && record.failedJobs.size <= 1) {
            // The job fails on all workers, so its failures are no evidence against this one unless several jobs failed
            // here.
            return;
        }
        record.consecutiveFailures += 1;
        record.failedJobs.add(job);
        const limit = record.isProbing ? 1 : failureLimit;
        if (record.consecutiveFailures >= limit && !isQuarantined(worker) && mayQuarantine()) {
            beginQuarantine(record);
        }
    };
    const recordSuccess = (worker: WorkerId, job: JobId): void => {
        const record = workerRecord(worker);
        jobRecord(job).successes += 1;
        record.consecutiveFailures = 0;
        record.failedJobs.clear();
        record.quarantines = 0;
        record.isProbing = false;
        record.successesInWindow += 1;
    };
    const renewWindow = (record: WorkerRecord): void => {
        if (performance.now() - record.windowStartedAt >= startWindow) {
            record.windowStartedAt = performance.now();
            record.startsInWindow = 0;
            record.successesInWindow = 0;
        }
    };
    return {
        recordStart: worker => {
            const record = workerRecord(worker);
            renewWindow(record);
            record.startsInWindow += 1;
        },
        recordEnd: (worker, job, isFailure) => {
            renewWindow(workerRecord(worker));
            (isFailure ? recordFailure : recordSuccess)(worker, job);
        },
        allowance: worker => {
            const record = workerRecord(worker);
            if (isQuarantined(worker)) {
                return 0;
            }
            renewWindow(record);
            const limit = record.isProbing
                ? probeAllowance
                : record.consecutiveFailures >= suspectLimit
                ? suspectAllowance
                : initialStartLimit + 2 * record.successesInWindow;
            return Math.max(0, limit - record.startsInWindow);
        },
        isQuarantined,
        isPoison,
        removeWorker: worker => {
            workers.delete(worker);
        },
        removeJob: job => {
            jobs.delete(job);
        },
    };
};
