import type { EnvironmentDocument, TaskId, WorkerId } from "@jayfront/world";

import type { BatchWork } from "./batch-work.js";
import type { BatchMix } from "./interference-model.js";
import type { LatencyModels } from "./latency-models.js";
import type { HeldTask, WorkerAccount } from "./worker-account.js";

/**
 * Keeps the 99th percentiles of services within their targets: rules out placements of batch tasks that would miss one,
 * throttles tasks, and evicts them as the last resort.
 */
export interface TailLatencyGuard {
    /** Learns the latency of one answered request in milliseconds. */
    readonly recordRequest: (worker: WorkerId, service: string, latency: number) => void;
    /**
     * Headroom below the targets that one more task of the work would leave on the worker, as a share of the target;
     * undefined where a 99th percentile is predicted above {@link TailLatencyGuardOptions.placementTargetShare} of its
     * target. Serves as `PlacementScore`.
     */
    readonly score: (account: WorkerAccount, work: BatchWork) => number | undefined;
    /** Whether a task of the class may run beside the services on a worker without other batch tasks. */
    readonly canEverPlace: (batchClass: string) => boolean;
    /**
     * Share of one worker's tail latency headroom that a task of the class takes, from 0 to 1. The headroom is that
     * between the 99th percentile without batch tasks and its target, for the service that the class affects most.
     */
    readonly tailHeadroomShare: (batchClass: string) => number;
    /**
     * Updates the models with the requests since the last review and decides on levels and evictions. To be called
     * every 500 ms.
     */
    readonly review: (accounts: Iterable<WorkerAccount>) => GuardOrders;
    /**
     * Milliseconds that a request of the service may wait so that the wait and the predicted 99th percentile without
     * batch tasks together stay within {@link TailLatencyGuardOptions.throttleTargetShare} of the target.
     */
    readonly allowedWait: (service: string) => number;
}

/** Changes that a review orders; the caller sends them to the workers. */
export interface GuardOrders {
    /** New throttle levels of tasks: shares of full speed, from 0 to 1. */
    readonly levels: readonly { readonly worker: WorkerId; readonly task: HeldTask; readonly level: number; }[];
    /** Tasks to checkpoint and evict. */
    readonly evictions: readonly { readonly worker: WorkerId; readonly task: HeldTask; }[];
}

/** Options of {@link createTailLatencyGuard}. */
export interface TailLatencyGuardOptions {
    /** Current environment document. */
    readonly document: () => EnvironmentDocument;
    readonly models: LatencyModels;
    /** Number of times that the task was evicted; at the limit of its class it is not evicted again. */
    readonly evictionsOf: (task: TaskId) => number;
    /** Laxity of the task's work in milliseconds; the task with the largest is evicted first. */
    readonly laxityOf: (task: TaskId) => number;
    /** Factor of at most 1 on the throttle level of a team's tasks, for fair shares of headroom. Default: always 1. */
    readonly teamLevelFactor?: (team: string) => number;
    /** Largest predicted share of a target at which a task is placed. Default 0.95. */
    readonly placementTargetShare?: number;
    /** Predicted share of a target above which tasks are throttled. Default 0.95. */
    readonly throttleTargetShare?: number;
    /** Lowest throttle level. Default 0.05. */
    readonly lowestLevel?: number;
    /** Standard deviations above the estimate at which placements are rated. Default 1. */
    readonly placementDeviations?: number;
    /** Consecutive reviews, each predicting a missed target at the lowest level, that evict a task. Default 10. */
    readonly reviewsBeforeEviction?: number;
}

/** Latencies since the last review. */
interface Tally {
    /** Milliseconds. */
    sum: number;
    count: number;
}

interface WorkerState {
    /** By service. */
    readonly tallies: Map<string, Tally>;
    /** Throttle level of the worker, before the factors of teams. */
    level: number;
    /** Consecutive reviews that predicted a missed target at the lowest level, but not without batch tasks. */
    reviewsAtLowestLevel: number;
    /** Consecutive reviews that allowed a higher level. */
    reviewsAllowingRaise: number;
    /** Mix at the last review. */
    previousMix: BatchMix;
}

/** Weight of the latest load in the moving average. */
const loadWeight = 0.5;
/** Throttle levels are multiples of this step. */
const levelStep = 0.05;
/** Level of a worker whose tasks all run at full speed, regardless of the factors of teams. */
const unthrottled = Infinity;
/** The level of a worker rises to at most the inverse of this, to make up for the factors of teams. */
const lowestCompensatedFactor = 0.5;
/** Consecutive reviews that must allow a higher level before it is applied. */
const reviewsBeforeRaise = 6;
/** Milliseconds without a request after which the target of a service is ignored. */
const idleAfter = 30_000;

const mixOf = (account: WorkerAccount, levelOf: (task: HeldTask) => number = task => task.level): BatchMix => {
    const mix: Record<string, number> = {};
    for (const task of account.tasks.values()) {
        mix[task.batchClass] = (mix[task.batchClass] ?? 0) + levelOf(task);
    }
    return mix;
};
const atFullSpeed = (): number => 1;
const averageMix = (left: BatchMix, right: BatchMix): BatchMix => {
    const mix: Record<string, number> = {};
    for (const batchClass of new Set([...Object.keys(left), ...Object.keys(right)])) {
        mix[batchClass] = ((left[batchClass] ?? 0) + (right[batchClass] ?? 0)) / 2;
    }
    return mix;
};

/** Creates a guard without any samples. */
export const createTailLatencyGuard = (options: TailLatencyGuardOptions): TailLatencyGuard => {
    const {
        document,
        models,
        evictionsOf,
        laxityOf,
        teamLevelFactor = () => 1,
        placementTargetShare = 0.95,
        throttleTargetShare = 0.95,
        lowestLevel = 0.05,
        placementDeviations = 1,
        reviewsBeforeEviction = 10,
    } = options;
    const states = new Map<WorkerId, WorkerState>();
    let load = 0;

    const modelsOf = models.forService;
    /** Services with a recent request, and their targets in milliseconds. */
    const activeServices = (): readonly (readonly [string, number])[] => {
        const activeSince = performance.now() - idleAfter;
        return Object.entries(document().services)
            .filter(([service]) => modelsOf(service).lastRequestAt >= activeSince)
            .map(([service, { targetMs }]) => [service, targetMs] as const);
    };
    const stateOf = (worker: WorkerId): WorkerState => {
        const existing = states.get(worker);
        if (existing !== undefined) {
            return existing;
        }
        const created: WorkerState = {
            tallies: new Map(),
            level: 1,
            reviewsAtLowestLevel: 0,
            reviewsAllowingRaise: 0,
            previousMix: {},
        };
        states.set(worker, created);
        return created;
    };
    const predictMean = (service: string, mix: BatchMix, deviations = 0): number =>
        modelsOf(service).interference.predict(load, mix, deviations);
    /** Predicted 99th percentile as a share of its target, of the service where it is largest. */
    const largestTargetShare = (mix: BatchMix, deviations: number): number => {
        let largest = 0;
        for (const [service, target] of activeServices()) {
            const predicted = predictMean(service, mix, deviations) * modelsOf(service).tailRatio.value();
            largest = Math.max(largest, predicted / target);
        }
        return largest;
    };
    const learn = (account: WorkerAccount): void => {
        const state = stateOf(account.worker().id);
        const mixNow = mixOf(account);
        const batch = averageMix(state.previousMix, mixNow);
        state.previousMix = mixNow;
        for (const [service, { sum, count }] of state.tallies) {
            modelsOf(service).interference.learn({ load, batch, mean: sum / count, count });
        }
        state.tallies.clear();
    };
    /**
     * Highest level of the worker at which, with the factors of teams applied, no service is predicted above its
     * throttle threshold; the lowest level where there is none.
     */
    const allowedLevel = (account: WorkerAccount): number => {
        if (largestTargetShare(mixOf(account, atFullSpeed), 0) <= throttleTargetShare) {
            return unthrottled;
        }
        for (let level = 1 / lowestCompensatedFactor; level > lowestLevel; level -= levelStep) {
            if (largestTargetShare(mixOf(account, task => levelFor(task, level)), 0) <= throttleTargetShare) {
                return level;
            }
        }
        return lowestLevel;
    };
    /** Throttle level of a task: `level`, which is that of its worker, times the factor of its team. */
    const levelFor = (task: HeldTask, level: number): number =>
        level === unthrottled ? 1 : Math.max(lowestLevel, Math.min(1, level * teamLevelFactor(task.team)));
    const chooseLevel = (account: WorkerAccount, state: WorkerState): number => {
        const allowed = account.tasks.size === 0 ? unthrottled : allowedLevel(account);
        if (allowed <= state.level) {
            state.reviewsAllowingRaise = 0;
            return allowed;
        }
        state.reviewsAllowingRaise += 1;
        return state.reviewsAllowingRaise >= reviewsBeforeRaise ? allowed : state.level;
    };
    const chooseEviction = (account: WorkerAccount, state: WorkerState): HeldTask | undefined => {
        const isTargetMissed = account.tasks.size > 0 && largestTargetShare(mixOf(account, () => lowestLevel), 0) > 1;
        // Where the load alone exceeds the target, evictions do not help.
        const isMissedByLoad = largestTargetShare({}, 0) > 1;
        state.reviewsAtLowestLevel = isTargetMissed && !isMissedByLoad ? state.reviewsAtLowestLevel + 1 : 0;
        if (state.reviewsAtLowestLevel < reviewsBeforeEviction) {
            return undefined;
        }
        state.reviewsAtLowestLevel = 0;
        const evictionLimit = (task: HeldTask): number => document().batchClasses[task.batchClass]?.evictions ?? 0;
        const [candidate] = [...account.tasks.values()]
            .filter(task => document().batchClasses[task.batchClass]?.checkpoints === true)
            .filter(task => evictionsOf(task.task) < evictionLimit(task))
            .sort((left, right) => laxityOf(right.task) - laxityOf(left.task));
        return candidate;
    };
    const measureLoad = (accounts: readonly WorkerAccount[]): void => {
        const slots = accounts.reduce((sum, account) => sum + account.worker().slots, 0);
        const requests = accounts.reduce((sum, account) => sum + account.requestCount(), 0);
        load += (requests / Math.max(1, slots) - load) * loadWeight;
    };
    return {
        recordRequest: (worker, service, latency) => {
            const { tallies, previousMix } = stateOf(worker);
            const tally = tallies.get(service) ?? { sum: 0, count: 0 };
            tally.sum += latency;
            tally.count += 1;
            tallies.set(service, tally);
            const serviceModels = modelsOf(service);
            serviceModels.lastRequestAt = performance.now();
            serviceModels.tailRatio.record(latency, predictMean(service, previousMix));
        },
        score: (account, { batchClass, team }) => {
            // For a team within its fair share, tasks of teams above theirs count at the level to which the next review
            // throttles them.
            const isWithinFairShare = teamLevelFactor(team) === 1;
            const mix = mixOf(account, isWithinFairShare ? task => teamLevelFactor(task.team) : atFullSpeed);
            const targetShare = largestTargetShare(
                { ...mix, [batchClass]: (mix[batchClass] ?? 0) + 1 },
                placementDeviations,
            );
            return targetShare > placementTargetShare ? undefined : 1 - targetShare;
        },
        canEverPlace: batchClass =>
            largestTargetShare({ [batchClass]: 1 }, placementDeviations) <= placementTargetShare,
        tailHeadroomShare: batchClass => {
            let largest = 0;
            for (const [service, target] of activeServices()) {
                const { interference, tailRatio } = modelsOf(service);
                const headroom = target / (predictMean(service, {}) * tailRatio.value()) - 1;
                largest = Math.max(
                    largest,
                    headroom <= 0 ? 1 : interference.effect(batchClass, load).slowDown / headroom,
                );
            }
            return Math.min(1, largest);
        },
        review: accounts => {
            const all = [...accounts];
            measureLoad(all);
            all.forEach(learn);
            const levels: GuardOrders["levels"][number][] = [];
            const evictions: GuardOrders["evictions"][number][] = [];
            for (const account of all) {
                const worker = account.worker().id;
                const state = stateOf(worker);
                state.level = chooseLevel(account, state);
                for (const task of account.tasks.values()) {
                    const level = Math.round(levelFor(task, state.level) / levelStep) * levelStep;
                    if (Math.abs(task.level - level) > 1e-9) {
                        levels.push({ worker, task, level });
                    }
                }
                const task = chooseEviction(account, state);
                if (task !== undefined) {
                    evictions.push({ worker, task });
                }
            }
            return { levels, evictions };
        },
        allowedWait: service => {
            const target = document().services[service]?.targetMs ?? Infinity;
            return Math.max(
                0,
                target * throttleTargetShare - predictMean(service, {}) * modelsOf(service).tailRatio.value(),
            );
        },
    };
};
