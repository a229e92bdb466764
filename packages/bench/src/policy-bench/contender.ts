import type { PlacementScore, WorkerAccount } from "@jayfront/policy";
import { createLatencyModels, createTailLatencyGuard } from "@jayfront/policy";
import type { EnvironmentDocument, TaskId, WorkerId } from "@jayfront/world";

import type { UserWorkload } from "./user-workload.js";

/** The run as a contender may see it. */
export interface ContenderContext {
    readonly workload: UserWorkload;
    readonly document: () => EnvironmentDocument;
    /** Share of all slots that requests take now. */
    readonly requestLoad: () => number;
    /** Seconds since the start of the run. */
    readonly elapsedSeconds: () => number;
    readonly evictionsOf: (task: TaskId) => number;
    /** Milliseconds to spare until the task has to start to end by its job's deadline; negative if it will be late. */
    readonly laxityOf: (task: TaskId) => number;
    readonly teamLevelFactor: (team: string) => number;
    /** State of the simulated world that schedulers cannot see, for the oracle only. */
    readonly hidden: { readonly slowness: () => number; readonly disturbance: (batchClass: string) => number; };
}

/** Throttle levels and evictions that one review orders. */
export interface ContenderOrders {
    readonly levels: readonly { readonly worker: WorkerId; readonly task: TaskId; readonly level: number; }[];
    readonly evictions: readonly { readonly worker: WorkerId; readonly task: TaskId; }[];
}

/** A way of scheduling that the benchmark compares. */
export interface Contender {
    readonly score: PlacementScore;
    /** Default: all batch classes can be placed. */
    readonly canEverPlace?: (batchClass: string) => boolean;
    /** Share of the headroom below the tail latency target that one task of the batch class takes. */
    readonly tailHeadroomShare?: (batchClass: string) => number;
    /** Number of workers that are scored for a placement. */
    readonly candidateCount: number;
    /** Whether requests may be sent to the worker with this number, from 1. */
    readonly mayServe: (worker: number) => boolean;
    /** Called for each completed request with its latency in milliseconds. */
    readonly recordRequest: (worker: WorkerId, service: string, latency: number) => void;
    /** Milliseconds that a request may wait for a slot before it is shed, at this moment. */
    readonly maxQueueWait: () => number;
    /** Called twice a second. */
    readonly review: (accounts: readonly WorkerAccount[]) => ContenderOrders;
}

const noOrders: ContenderOrders = { levels: [], evictions: [] };
const workerNumberOf = (account: WorkerAccount): number => Number(account.worker().id.split("-w")[1]);

const createJayfront = (context: ContenderContext): Contender => {
    const guard = createTailLatencyGuard({
        document: context.document,
        models: createLatencyModels(context.document),
        evictionsOf: context.evictionsOf,
        laxityOf: context.laxityOf,
        teamLevelFactor: context.teamLevelFactor,
    });
    return {
        score: guard.score,
        canEverPlace: guard.canEverPlace,
        tailHeadroomShare: guard.tailHeadroomShare,
        candidateCount: 8,
        mayServe: () => true,
        recordRequest: guard.recordRequest,
        maxQueueWait: () => guard.allowedWait(context.workload.service),
        review: accounts => {
            const orders = guard.review(accounts);
            return {
                levels: orders.levels.map(({ worker, task, level }) => ({ worker, task: task.task, level })),
                evictions: orders.evictions.map(({ worker, task }) => ({ worker, task: task.task })),
            };
        },
    };
};

/** Chooses the first worker by number with room for the declared size, whatever the services' latency. */
const createFirstFit = (context: ContenderContext): Contender => ({
    score: account => -workerNumberOf(account),
    candidateCount: 1_000,
    mayServe: () => true,
    recordRequest: () => undefined,
    maxQueueWait: () => context.workload.targetMs / 2,
    review: () => noOrders,
});

/** Highest request load of a day, which the service workers of a static split have to carry. */
const peakLoad = 0.65;
/** Highest request load that a service worker can carry. */
const splitMaxLoad = 0.8;

/** Reserves some workers for requests and leaves the others to batch tasks, which are placed first-fit. */
const createStaticSplit = (context: ContenderContext): Contender => {
    const serviceWorkers = Math.min(
        context.workload.workers - 1,
        Math.ceil(context.workload.workers * peakLoad / splitMaxLoad),
    );
    const isServiceWorker = (worker: number): boolean => worker <= serviceWorkers;
    return {
        ...createFirstFit(context),
        score: account => isServiceWorker(workerNumberOf(account)) ? undefined : -workerNumberOf(account),
        mayServe: isServiceWorker,
    };
};

/**
 * Share of the target that the oracle plans with: it has to keep the target in windows of some hundred requests, whose
 * 99th percentile varies by 4%.
 */
const oracleTargetShare = 0.88;
const oracleLowestLevel = 0.05;

/** Knows the exact tail latency and the disturbance by every batch class: an upper bound on what schedulers can do. */
const createOracle = (context: ContenderContext): Contender => {
    const { workload, hidden } = context;
    const baseline = workload.hidden.services[workload.service] ?? { median: 1, spread: 1 };
    const predictTail = (totalDisturbance: number): number => {
        const requestLoad = Math.min(1, context.requestLoad());
        return baseline.median * baseline.spread * (1 + 0.5 * requestLoad) * (1 + totalDisturbance * (1 + requestLoad))
            * hidden.slowness();
    };
    const disturbanceOf = (account: WorkerAccount): number =>
        [...account.tasks.values()].reduce((sum, task) => sum + hidden.disturbance(task.batchClass), 0);
    const levelOf = (account: WorkerAccount): number => {
        const fullDisturbance = disturbanceOf(account);
        for (let level = 1; level > oracleLowestLevel; level -= 0.05) {
            if (predictTail(fullDisturbance * level) <= workload.targetMs * oracleTargetShare) {
                return level;
            }
        }
        return oracleLowestLevel;
    };
    return {
        score: (account, { batchClass }) => {
            const predictedTail = predictTail(disturbanceOf(account) + hidden.disturbance(batchClass));
            return predictedTail > workload.targetMs * oracleTargetShare ? undefined : -predictedTail;
        },
        canEverPlace: batchClass =>
            predictTail(hidden.disturbance(batchClass)) <= workload.targetMs * oracleTargetShare,
        tailHeadroomShare: batchClass => {
            const headroom = workload.targetMs / predictTail(0) - 1;
            return headroom <= 0 ? 1 : Math.min(1, hidden.disturbance(batchClass) / headroom);
        },
        candidateCount: 8,
        mayServe: () => true,
        recordRequest: () => undefined,
        maxQueueWait: () => Math.max(0, workload.targetMs * oracleTargetShare - predictTail(0)),
        review: accounts => ({
            evictions: [],
            levels: accounts.flatMap(account => {
                const level = levelOf(account);
                return [...account.tasks.values()].map(task => ({
                    worker: account.worker().id,
                    task: task.task,
                    level,
                }));
            }),
        }),
    };
};

/** Constructors of all contenders by name. */
export const contenders: Readonly<Record<string, (context: ContenderContext) => Contender>> = {
    jayfront: createJayfront,
    "first-fit": createFirstFit,
    "static split": createStaticSplit,
    oracle: createOracle,
};
