import type { EnvironmentDocument, Resources, TaskId, Worker, WorkerId } from "@jayfront/world";
import { addResources, fitsResources, noResources, taskId } from "@jayfront/world";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

import type { BatchWork, PendingTask, Placement } from "./batch-work.js";
import { createQuantileEstimate } from "./quantile-estimate.js";
import { createTeamShares } from "./team-shares.js";
import type { HeldTask, WorkerAccount } from "./worker-account.js";
import { createWorkerAccount } from "./worker-account.js";
import { createWorkerHealth } from "./worker-health.js";
import type { WorkerHealth } from "./worker-health.js";
import { createWorkerIndex } from "./worker-index.js";

/** Decides which task of a cell starts next and on which worker. The caller sends the starts to the workers. */
export interface CellScheduler {
    readonly health: WorkerHealth;
    /** Account of a worker; undefined for an unknown one. */
    readonly account: (worker: WorkerId) => WorkerAccount | undefined;
    /** Accounts of all workers. */
    readonly accounts: () => Iterable<WorkerAccount>;
    /** Adds a worker, or replaces its description. */
    readonly putWorker: (worker: Worker) => WorkerAccount;
    /** Removes a worker and the tasks that it holds. */
    readonly removeWorker: (worker: WorkerId) => void;
    /** Sets whether the worker may get new tasks; a newly added worker may not. */
    readonly setUsable: (worker: WorkerId, isUsable: boolean) => void;
    /** Adds work with its tasks that were never started, by ascending index. */
    readonly addWork: (work: BatchWork, pending: readonly PendingTask[]) => void;
    /** Queues an evicted or failed task again, ahead of unstarted tasks. Ignored where the work was not added. */
    readonly requeue: (key: string, pending: PendingTask) => void;
    /** Removes the work and returns the indices of its pending tasks. */
    readonly removeWork: (key: string) => readonly number[];
    /** Number of pending tasks of all work. */
    readonly pendingCount: () => number;
    /** Number of pending tasks of the work. */
    readonly pendingCountOf: (key: string) => number;
    /**
     * Decides up to `limit` starts and holds their resources. Of unstarted tasks, only those with an index below
     * `indexLimit(key)` are considered.
     */
    readonly place: (limit: number, indexLimit: (key: string) => number) => readonly Placement[];
    /** Accounts for a task that a worker already runs, whether or not it fits. */
    readonly adoptTask: (worker: WorkerId, task: HeldTask) => void;
    /** Frees the resources of the task and returns it; undefined where the worker does not hold it. */
    readonly releaseTask: (worker: WorkerId, task: TaskId) => HeldTask | undefined;
    /** Learns the run time of a finished task in seconds. */
    readonly recordRunTime: (work: BatchWork, seconds: number) => void;
    /** Learns the peak memory of a finished task in GB. */
    readonly recordPeakMemory: (work: BatchWork, peak: number) => void;
    /** Learns that a task of `work` ran out of its `allocated` GB of memory; later starts of the job get more. */
    readonly recordOutOfMemory: (work: BatchWork, allocated: number) => void;
    /**
     * Factor of at most 1 on the throttle level of a team's tasks: below 1 for a team above its fair share while tasks
     * of other teams wait.
     */
    readonly teamLevelFactor: (team: string) => number;
    /** Milliseconds to spare before the deadline if a task started now; negative where it would end late. */
    readonly laxity: (work: BatchWork) => number;
}

/** Rates `account` as the place for one more task of the work: higher is better, undefined rules the worker out. */
export type PlacementScore = (account: WorkerAccount, work: BatchWork) => number | undefined;

/** Options of {@link createCellScheduler}. */
export interface CellSchedulerOptions {
    /** Current environment document. */
    readonly document: () => EnvironmentDocument;
    /** Draws candidate workers. */
    readonly random: RandomGenerator;
    /** Rates candidate workers. Default: free cores. */
    readonly score?: PlacementScore;
    /** Workers that are rated for one placement. Default 8. */
    readonly candidateCount?: number;
    /** Whether a task of the class may run on a worker without other batch tasks. Default: always. */
    readonly canEverPlace?: (batchClass: string) => boolean;
    /** Share of one worker's tail latency headroom that a task of the class takes, from 0 to 1. Default: 0. */
    readonly tailHeadroomShare?: (batchClass: string) => number;
    /** Difference of weighted shares up to which two teams count as equal. Default 0.01. */
    readonly shareTolerance?: number;
}

interface QueuedWork {
    readonly work: BatchWork;
    /** Evicted and failed tasks, which start first; the next one is last. */
    readonly requeued: PendingTask[];
    /** Tasks that were never started, by descending index; the next one is last. */
    readonly unstarted: PendingTask[];
}

/** Lowest factor on the throttle level of a team's tasks. */
const lowestTeamLevelFactor = 0.3;
/** Deducted from the score of a worker on which the task failed before; larger than any score. */
const priorFailurePenalty = 1e6;
/** Factor on the memory of an attempt that ran out of it. */
const memoryGrowthFactor = 2;
/** Factor on the learned peak memory. */
const memoryReserveFactor = 1.15;
/** Least memory of a task in GB. */
const smallestMemory = 0.1;

const scoreByFreeCores: PlacementScore = account => account.free().cores;

/** Creates a scheduler without workers or work. */
export const createCellScheduler = ({
    document,
    random,
    score = scoreByFreeCores,
    candidateCount = 8,
    canEverPlace = () => true,
    tailHeadroomShare = () => 0,
    shareTolerance = 0.01,
}: CellSchedulerOptions): CellScheduler => {
    const accounts = new Map<WorkerId, WorkerAccount>();
    const usableWorkers = new Set<WorkerId>();
    const workerIndex = createWorkerIndex(random);
    const queuedWork = new Map<string, QueuedWork>();
    const health = createWorkerHealth();
    const shares = createTeamShares({ document, tailHeadroomShare, workerCount: () => accounts.size });
    const runTimes = createQuantileEstimate();
    const memoryPeaks = createQuantileEstimate({ quantile: 1 });
    /** Least memory in GB for tasks of a job after an attempt ran out of memory, by job. */
    const raisedMemory = new Map<string, number>();

    const endpointResources = (): Resources =>
        Object.values(document().services)
            .reduce<Resources>((sum, service) => addResources(sum, service.endpoint), noResources);
    const refreshCapacity = (): void => {
        const all = [...accounts.values()].map(account => account.worker().resources);
        shares.setCapacity(all.reduce((sum, resources) => addResources(sum, resources), noResources));
    };
    const refreshIndex = (worker: WorkerId): void => {
        const account = accounts.get(worker);
        if (account !== undefined && usableWorkers.has(worker) && account.worker().state === "live") {
            workerIndex.put(worker, account.free());
        }
        else {
            workerIndex.remove(worker);
        }
    };
    const laxity = (work: BatchWork): number =>
        work.deadline - performance.now() - runTimes.predict(work.job, work.batchClass, work.runTime) * 1_000;
    const largestMemory = (): number =>
        Math.max(
            0,
            ...[...accounts.values()].map(account => account.worker().resources.memory - endpointResources().memory),
        );
    /** Declared resources, with the learned peak memory plus a reserve or, where larger, the raised memory. */
    const needOf = (work: BatchWork): Resources => {
        const learned = memoryPeaks.predict(work.job, work.batchClass, work.resources.memory / memoryReserveFactor);
        const memory = Math.max(learned * memoryReserveFactor, raisedMemory.get(work.job) ?? 0);
        return { ...work.resources, memory: Math.max(smallestMemory, memory) };
    };
    const nextPending = (entry: QueuedWork, indexLimit: number): PendingTask | undefined => {
        const unstarted = entry.unstarted.at(-1);
        return entry.requeued.at(-1)
            ?? (unstarted !== undefined && unstarted.index < indexLimit ? unstarted : undefined);
    };
    const dequeuePending = (entry: QueuedWork): void => {
        if (entry.requeued.pop() === undefined) {
            entry.unstarted.pop();
        }
        if (entry.requeued.length === 0 && entry.unstarted.length === 0) {
            queuedWork.delete(entry.work.key);
        }
    };
    /** The lower weighted share comes first; where both are about equal, the lower laxity. */
    const isBefore = (left: QueuedWork, right: QueuedWork): boolean => {
        const difference = shares.weightedShare(left.work.team) - shares.weightedShare(right.work.team);
        return Math.abs(difference) > shareTolerance ? difference < 0 : laxity(left.work) < laxity(right.work);
    };
    /**
     * Lowest weighted share of a team whose work fits on no worker now; Infinity where there is none. Teams with larger
     * shares must not use the capacity that is free, or that work would starve. Work that `canEverPlace` rules out does
     * not hold others back.
     */
    const lowestBlockedShare = (blocked: ReadonlySet<string>): number =>
        Math.min(...[...blocked].map(key => {
            const team = queuedWork.get(key)?.work.team;
            const batchClass = queuedWork.get(key)?.work.batchClass ?? "";
            return team === undefined || !canEverPlace(batchClass) ? Infinity : shares.weightedShare(team);
        }));
    const chooseWork = (blocked: ReadonlySet<string>, indexLimit: (key: string) => number): QueuedWork | undefined => {
        let best: QueuedWork | undefined;
        const shareLimit = lowestBlockedShare(blocked);
        for (const entry of queuedWork.values()) {
            const isEligible = !blocked.has(entry.work.key)
                && shares.weightedShare(entry.work.team) <= shareLimit + shareTolerance
                && nextPending(entry, indexLimit(entry.work.key)) !== undefined
                && shares.isWithinQuota(entry.work.team, needOf(entry.work));
            if (isEligible && (best === undefined || isBefore(entry, best))) {
                best = entry;
            }
        }
        return best;
    };
    /** The candidate with the best score. One on which the task failed is chosen only where no other fits. */
    const chooseWorker = (work: BatchWork, pending: PendingTask, needed: Resources): WorkerAccount | undefined => {
        let best: WorkerAccount | undefined;
        let bestScore = -Infinity;
        for (const id of workerIndex.sample(needed, candidateCount)) {
            const account = accounts.get(id);
            if (account === undefined || !fitsResources(needed, account.free()) || health.allowance(id) === 0) {
                continue;
            }
            const value = score(account, work);
            const penalty = pending.failedOn.includes(id) ? priorFailurePenalty : 0;
            if (value !== undefined && value - penalty > bestScore) {
                best = account;
                bestScore = value - penalty;
            }
        }
        return best;
    };
    const commitPlacement = (work: BatchWork, pending: PendingTask, account: WorkerAccount): Placement => {
        const task = taskId(work.job, pending.index);
        const resources = needOf(work);
        const worker = account.worker().id;
        account.hold({
            task,
            attempt: pending.attempt,
            team: work.team,
            batchClass: work.batchClass,
            resources,
            startedAt: performance.now(),
            level: 1,
        });
        shares.add(work.team, work.batchClass, resources, 1);
        health.recordStart(worker);
        refreshIndex(worker);
        const start = {
            task,
            attempt: pending.attempt,
            team: work.team,
            batchClass: work.batchClass,
            resources,
            payload: work.payloads?.[pending.index] ?? work.payload,
            ...(pending.checkpoint === undefined ? {} : { checkpoint: pending.checkpoint }),
        } as Placement["start"];
        return { worker, work, pending, task, start };
    };
    const placeNext = (
        blocked: Set<string>,
        indexLimit: (key: string) => number,
    ): Placement | "blocked" | undefined => {
        const entry = chooseWork(blocked, indexLimit);
        const pending = entry === undefined ? undefined : nextPending(entry, indexLimit(entry.work.key));
        if (entry === undefined || pending === undefined) {
            return undefined;
        }
        const account = chooseWorker(entry.work, pending, needOf(entry.work));
        if (account === undefined) {
            blocked.add(entry.work.key);
            return "blocked";
        }
        dequeuePending(entry);
        return commitPlacement(entry.work, pending, account);
    };
    const ensureQueued = (work: BatchWork): QueuedWork => {
        const entry = queuedWork.get(work.key) ?? { work, requeued: [], unstarted: [] };
        queuedWork.set(work.key, entry);
        return entry;
    };
    const workByKey = new Map<string, BatchWork>();

    return {
        health,
        laxity,
        account: worker => accounts.get(worker),
        accounts: () => accounts.values(),
        putWorker: worker => {
            const account = accounts.get(worker.id) ?? createWorkerAccount(worker, endpointResources());
            account.update(worker);
            accounts.set(worker.id, account);
            refreshCapacity();
            refreshIndex(worker.id);
            return account;
        },
        removeWorker: worker => {
            for (const task of accounts.get(worker)?.tasks.values() ?? []) {
                shares.add(task.team, task.batchClass, task.resources, -1);
            }
            accounts.delete(worker);
            usableWorkers.delete(worker);
            workerIndex.remove(worker);
            health.removeWorker(worker);
            refreshCapacity();
        },
        setUsable: (worker, isUsable) => {
            if (isUsable) {
                usableWorkers.add(worker);
            }
            else {
                usableWorkers.delete(worker);
            }
            refreshIndex(worker);
        },
        addWork: (work, pending) => {
            workByKey.set(work.key, work);
            if (pending.length > 0) {
                const entry = ensureQueued(work);
                entry.unstarted.push(...[...pending].reverse());
            }
        },
        requeue: (key, pending) => {
            const work = workByKey.get(key);
            if (work !== undefined) {
                ensureQueued(work).requeued.push(pending);
            }
        },
        removeWork: key => {
            const entry = queuedWork.get(key);
            queuedWork.delete(key);
            raisedMemory.delete(workByKey.get(key)?.job ?? "");
            workByKey.delete(key);
            return entry === undefined ? [] : [...entry.requeued, ...entry.unstarted].map(pending => pending.index);
        },
        pendingCount: () =>
            [...queuedWork.values()].reduce((sum, entry) => sum + entry.requeued.length + entry.unstarted.length, 0),
        pendingCountOf: key => {
            const entry = queuedWork.get(key);
            return entry === undefined ? 0 : entry.requeued.length + entry.unstarted.length;
        },
        place: (limit, indexLimit) => {
            const placements: Placement[] = [];
            const blocked = new Set<string>();
            while (placements.length < limit) {
                const placement = placeNext(blocked, indexLimit);
                if (placement === undefined) {
                    break;
                }
                if (placement !== "blocked") {
                    placements.push(placement);
                }
            }
            return placements;
        },
        adoptTask: (worker, task) => {
            const account = accounts.get(worker);
            if (account !== undefined && !account.tasks.has(task.task)) {
                account.adopt(task);
                shares.add(task.team, task.batchClass, task.resources, 1);
                refreshIndex(worker);
            }
        },
        releaseTask: (worker, task) => {
            const held = accounts.get(worker)?.release(task);
            if (held !== undefined) {
                shares.add(held.team, held.batchClass, held.resources, -1);
                refreshIndex(worker);
            }
            return held;
        },
        recordRunTime: (work, seconds) => {
            runTimes.record(work.job, work.batchClass, seconds);
        },
        recordPeakMemory: (work, peak) => {
            memoryPeaks.record(work.job, work.batchClass, peak);
        },
        recordOutOfMemory: (work, allocated) => {
            // Several tasks that ran out of the same amount raise the memory only once.
            const raised = Math.min(allocated * memoryGrowthFactor, largestMemory());
            raisedMemory.set(work.job, Math.max(raised, raisedMemory.get(work.job) ?? 0));
        },
        teamLevelFactor: team => {
            const teams = new Set([...queuedWork.values()].map(entry => entry.work.team));
            if (teams.size === 0 || teams.size === 1 && teams.has(team)) {
                return 1;
            }
            const all = [...new Set([...teams, team])];
            const fairShare = all.reduce((sum, other) => sum + shares.weightedShare(other), 0) / all.length;
            const ownShare = shares.weightedShare(team);
            return ownShare <= fairShare ? 1 : Math.max(lowestTeamLevelFactor, fairShare / ownShare);
        },
    };
};
