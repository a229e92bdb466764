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

/** Decides which task of a cell starts next and on which worker. The caller carries the decisions out. */
export interface CellScheduler {
    readonly health: WorkerHealth;
    readonly account: (worker: WorkerId) => WorkerAccount | undefined;
    readonly accounts: () => Iterable<WorkerAccount>;
    /** Adds a worker, or takes its new description over. */
    readonly putWorker: (worker: Worker) => WorkerAccount;
    readonly removeWorker: (worker: WorkerId) => void;
    /** Whether the worker may get new tasks. */
    readonly setUsable: (worker: WorkerId, isUsable: boolean) => void;
    readonly addWork: (work: BatchWork, pending: readonly PendingTask[]) => void;
    /** Adds a task of known work, ahead of its fresh tasks. */
    readonly requeue: (key: string, pending: PendingTask) => void;
    /** Drops all pending tasks of the work and answers their indices. */
    readonly removeWork: (key: string) => readonly number[];
    readonly pendingCount: () => number;
    readonly pendingCountOf: (key: string) => number;
    /** Decides up to `limit` starts. Tasks at or above `startLimit(key)` wait. */
    readonly place: (limit: number, startLimit: (key: string) => number) => readonly Placement[];
    /** Holds resources of a task that a worker was found to run. */
    readonly adoptTask: (worker: WorkerId, task: HeldTask) => void;
    /** Frees what the task holds. */
    readonly releaseTask: (worker: WorkerId, task: TaskId) => HeldTask | undefined;
    /** Learns the run time of a finished task in seconds. */
    readonly recordRunTime: (work: BatchWork, seconds: number) => void;
    /** Learns the most memory in GB that a finished task took. */
    readonly recordPeakMemory: (work: BatchWork, peak: number) => void;
    /** Learns that a task of `work` ran out of the `given` GB of memory; later starts ask for more. */
    readonly recordOutOfMemory: (work: BatchWork, given: number) => void;
    /** Factor at most 1 on the level of a team's tasks: lower for a team above its fair share while others wait. */
    readonly teamLevelFactor: (team: string) => number;
    /** Milliseconds to spare of the work's next task; negative where it will be late. */
    readonly laxity: (work: BatchWork) => number;
}

/** Decides how well `account` suits one more task of the work: undefined forbids, higher is better. */
export type PlacementScore = (account: WorkerAccount, work: BatchWork) => number | undefined;

/** Options of {@link createCellScheduler}. */
export interface CellSchedulerOptions {
    readonly document: () => EnvironmentDocument;
    readonly random: RandomGenerator;
    /** Judges candidates. Default: the most free cores. */
    readonly score?: PlacementScore;
    /** Workers that are judged for one placement. Default 8. */
    readonly candidateCount?: number;
    /** Whether a task of the class could run on a worker without other batch tasks. Default: always. */
    readonly canEverPlace?: (batchClass: string) => boolean;
    /** Share of one worker's tail room that a task of the class takes. Default: none. */
    readonly tailHeadroomShare?: (batchClass: string) => number;
    /** Difference of weighted shares within which teams count as even. Default 0.01. */
    readonly shareTolerance?: number;
}

interface QueuedWork {
    readonly work: BatchWork;
    /** Evicted and failed tasks, which go first. */
    readonly again: PendingTask[];
    /** Tasks never started; the lowest index stands last. */
    readonly fresh: PendingTask[];
}

/** Lowest factor on the level of a team's tasks. */
const lowestTeamFactor = 0.3;
/** Larger than any score. */
const failedBeforePenalty = 1e6;
/** Factor on the memory that an attempt ran out of. */
const memoryStep = 2;
/** Factor on learned memory. */
const memoryReserve = 1.15;
/** GB that a task gets at least. */
const smallestMemory = 0.1;

const mostFreeCores: PlacementScore = account => account.free().cores;

/** Creates a scheduler without workers or work. */
export const createCellScheduler = ({
    document,
    random,
    score = mostFreeCores,
    candidateCount: candidates = 8,
    canEverPlace = () => true,
    tailHeadroomShare: tailRoom = () => 0,
    shareTolerance = 0.01,
}: CellSchedulerOptions): CellScheduler => {
    const accounts = new Map<WorkerId, WorkerAccount>();
    const usable = new Set<WorkerId>();
    const index = createWorkerIndex(random);
    const queued = new Map<string, QueuedWork>();
    const health = createWorkerHealth();
    const shares = createTeamShares({ document, tailHeadroomShare: tailRoom, workerCount: () => accounts.size });
    const runTimes = createQuantileEstimate();
    const memoryPeaks = createQuantileEstimate({ quantile: 1 });
    /** Memory in GB that attempts of a job ran out of, raised; by job. */
    const raisedMemory = new Map<string, number>();

    const reserved = (): Resources =>
        Object.values(document().services)
            .reduce<Resources>((sum, service) => addResources(sum, service.endpoint), noResources);
    const refreshCapacity = (): void => {
        const all = [...accounts.values()].map(account => account.worker().resources);
        shares.setCapacity(all.reduce((sum, resources) => addResources(sum, resources), noResources));
    };
    const refreshIndex = (worker: WorkerId): void => {
        const account = accounts.get(worker);
        if (account !== undefined && usable.has(worker) && account.worker().state === "live") {
            index.put(worker, account.free());
        }
        else {
            index.remove(worker);
        }
    };
    const laxity = (work: BatchWork): number =>
        work.deadline - performance.now() - runTimes.predict(work.job, work.batchClass, work.runTime) * 1_000;
    const largestMemory = (): number =>
        Math.max(0, ...[...accounts.values()].map(account => account.worker().resources.memory - reserved().memory));
    /** Learned need with a reserve, at least what earlier attempts ran out of. */
    const needOf = (work: BatchWork): Resources => {
        const learned = memoryPeaks.predict(work.job, work.batchClass, work.resources.memory / memoryReserve);
        const memory = Math.max(learned * memoryReserve, raisedMemory.get(work.job) ?? 0);
        return { ...work.resources, memory: Math.max(smallestMemory, memory) };
    };
    const nextPending = (entry: QueuedWork, startLimit: number): PendingTask | undefined => {
        const fresh = entry.fresh.at(-1);
        return entry.again.at(-1) ?? (fresh !== undefined && fresh.index < startLimit ? fresh : undefined);
    };
    const takePending = (entry: QueuedWork): void => {
        if (entry.again.pop() === undefined) {
            entry.fresh.pop();
        }
        if (entry.again.length === 0 && entry.fresh.length === 0) {
            queued.delete(entry.work.key);
        }
    };
    /** Teams with less come first; among teams that are about even the work with the least laxity does. */
    const isBefore = (left: QueuedWork, right: QueuedWork): boolean => {
        const difference = shares.weightedShare(left.work.team) - shares.weightedShare(right.work.team);
        return Math.abs(difference) > shareTolerance ? difference < 0 : laxity(left.work) < laxity(right.work);
    };
    /**
     * Lowest weighted share of a team whose work found no worker. Room that is too small for it must not be filled by
     * teams that already have more, or the work would never find any.
     */
    const shareToWaitFor = (blocked: ReadonlySet<string>): number =>
        Math.min(...[...blocked].map(key => {
            const team = queued.get(key)?.work.team;
            const batchClass = queued.get(key)?.work.batchClass ?? "";
            return team === undefined || !canEverPlace(batchClass) ? Infinity : shares.weightedShare(team);
        }));
    const chooseWork = (blocked: ReadonlySet<string>, startLimit: (key: string) => number): QueuedWork | undefined => {
        let best: QueuedWork | undefined;
        const limit = shareToWaitFor(blocked);
        for (const entry of queued.values()) {
            const isEligible = !blocked.has(entry.work.key)
                && shares.weightedShare(entry.work.team) <= limit + shareTolerance
                && nextPending(entry, startLimit(entry.work.key)) !== undefined
                && shares.isWithinQuota(entry.work.team, needOf(entry.work));
            if (isEligible && (best === undefined || isBefore(entry, best))) {
                best = entry;
            }
        }
        return best;
    };
    /** The best of some candidates; one on which the task failed before only where there is no other. */
    const chooseWorker = (work: BatchWork, pending: PendingTask, needed: Resources): WorkerAccount | undefined => {
        let best: WorkerAccount | undefined;
        let bestScore = -Infinity;
        for (const id of index.sample(needed, candidates)) {
            const account = accounts.get(id);
            if (account === undefined || !fitsResources(needed, account.free()) || health.allowance(id) === 0) {
                continue;
            }
            const value = score(account, work);
            const penalty = pending.failedOn.includes(id) ? failedBeforePenalty : 0;
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
        startLimit: (key: string) => number,
    ): Placement | "blocked" | undefined => {
        const entry = chooseWork(blocked, startLimit);
        const pending = entry === undefined ? undefined : nextPending(entry, startLimit(entry.work.key));
        if (entry === undefined || pending === undefined) {
            return undefined;
        }
        const account = chooseWorker(entry.work, pending, needOf(entry.work));
        if (account === undefined) {
            blocked.add(entry.work.key);
            return "blocked";
        }
        takePending(entry);
        return commitPlacement(entry.work, pending, account);
    };
    const ensureQueued = (work: BatchWork): QueuedWork => {
        const entry = queued.get(work.key) ?? { work, again: [], fresh: [] };
        queued.set(work.key, entry);
        return entry;
    };
    const works = new Map<string, BatchWork>();

    return {
        health,
        laxity,
        account: worker => accounts.get(worker),
        accounts: () => accounts.values(),
        putWorker: worker => {
            const account = accounts.get(worker.id) ?? createWorkerAccount(worker, reserved());
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
            usable.delete(worker);
            index.remove(worker);
            health.removeWorker(worker);
            refreshCapacity();
        },
        setUsable: (worker, isUsable) => {
            if (isUsable) {
                usable.add(worker);
            }
            else {
                usable.delete(worker);
            }
            refreshIndex(worker);
        },
        addWork: (work, pending) => {
            works.set(work.key, work);
            if (pending.length > 0) {
                const entry = ensureQueued(work);
                entry.fresh.push(...[...pending].reverse());
            }
        },
        requeue: (key, pending) => {
            const work = works.get(key);
            if (work !== undefined) {
                ensureQueued(work).again.push(pending);
            }
        },
        removeWork: key => {
            const entry = queued.get(key);
            queued.delete(key);
            raisedMemory.delete(works.get(key)?.job ?? "");
            works.delete(key);
            return entry === undefined ? [] : [...entry.again, ...entry.fresh].map(pending => pending.index);
        },
        pendingCount: () =>
            [...queued.values()].reduce((sum, entry) => sum + entry.again.length + entry.fresh.length, 0),
        pendingCountOf: key => {
            const entry = queued.get(key);
            return entry === undefined ? 0 : entry.again.length + entry.fresh.length;
        },
        place: (limit, startLimit) => {
            const placements: Placement[] = [];
            const blocked = new Set<string>();
            while (placements.length < limit) {
                const placement = placeNext(blocked, startLimit);
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
        recordOutOfMemory: (work, given) => {
            // Tasks that ran out of the same amount together raise it once.
            const raised = Math.min(given * memoryStep, largestMemory());
            raisedMemory.set(work.job, Math.max(raised, raisedMemory.get(work.job) ?? 0));
        },
        teamLevelFactor: team => {
            const teams = new Set([...queued.values()].map(entry => entry.work.team));
            if (teams.size === 0 || teams.size === 1 && teams.has(team)) {
                return 1;
            }
            const all = [...new Set([...teams, team])];
            const fair = all.reduce((sum, other) => sum + shares.weightedShare(other), 0) / all.length;
            const own = shares.weightedShare(team);
            return own <= fair ? 1 : Math.max(lowestTeamFactor, fair / own);
        },
    };
};
