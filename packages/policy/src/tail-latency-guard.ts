import type { EnvironmentDocument, TaskId, WorkerId } from "@jayfront/world";

import type { BatchWork } from "./batch-work.js";
import type { BatchMix } from "./interference-model.js";
import type { LatencyModels } from "./latency-models.js";
import type { HeldTask, WorkerAccount } from "./worker-account.js";

/** Keeps services within their targets beside batch tasks: judges placements, throttles, and evicts last. */
export interface TailLatencyGuard {
    /** Learns the latency of one answered request in milliseconds. */
    readonly recordRequest: (worker: WorkerId, service: string, latency: number) => void;
    /** Room that is left on the worker for one more task of the work: undefined where the tail would miss a target. */
    readonly score: (account: WorkerAccount, work: BatchWork) => number | undefined;
    /** Whether a task of the class fits beside the services on a worker without other batch tasks. */
    readonly canEverPlace: (batchClass: string) => boolean;
    /** Share of one worker's tail room that a task of the class takes, by the service that it presses hardest. */
    readonly tailHeadroomShare: (batchClass: string) => number;
    /** Takes in what came since the last review and decides on levels and evictions. Called twice a second. */
    readonly review: (accounts: Iterable<WorkerAccount>) => GuardOrders;
    /** Milliseconds that a request of the service may wait and still end within the target. */
    readonly allowedWait: (service: string) => number;
}

/** What a review orders. */
export interface GuardOrders {
    readonly levels: readonly { readonly worker: WorkerId; readonly task: HeldTask; readonly level: number; }[];
    readonly evictions: readonly { readonly worker: WorkerId; readonly task: HeldTask; }[];
}

/** Options of {@link createTailLatencyGuard}. */
export interface TailLatencyGuardOptions {
    readonly document: () => EnvironmentDocument;
    readonly models: LatencyModels;
    /** Evictions that the task has suffered; those at their budget are spared. */
    readonly evictionsOf: (task: TaskId) => number;
    /** Milliseconds that the task's job has to spare; the one with the most is evicted first. */
    readonly laxityOf: (task: TaskId) => number;
    /** Factor at most 1 on the level of a team's tasks, for fair shares of the tail room. Default: always 1. */
    readonly teamLevelFactor?: (team: string) => number;
    /** Share of a target that predictions may fill when a task is placed. Default 0.95. */
    readonly placementTargetShare?: number;
    /** Share of a target above which tasks are throttled. Default 0.95. */
    readonly throttleTargetShare?: number;
    /** Lowest throttle level. Default 0.05. */
    readonly lowestLevel?: number;
    /** Standard deviations that placements stay above the estimate. Default 1. */
    readonly placementDeviations?: number;
    /** Reviews at the floor, with the target still missed, before a task is evicted. Default 10. */
    readonly reviewsBeforeEviction?: number;
}

interface Tally {
    sum: number;
    count: number;
}

interface WorkerState {
    readonly tallies: Map<string, Tally>;
    level: number;
    reviewsAtFloor: number;
    reviewsEased: number;
    mixBefore: BatchMix;
}

const loadWeight = 0.5;
const levelStep = 0.05;
/** Level of a worker whose tasks all run at full speed, whatever their teams' factors. */
const unthrottled = Infinity;
/** Team factors below this one get no higher level in exchange. */
const lowestFactor = 0.5;
/** Reviews in which a higher level must have been allowed before it is taken. */
const easeDelay = 6;
/** Milliseconds without a request after which a service has no tail to keep. */
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

/** Creates a guard that knows nothing yet. */
export const createTailLatencyGuard = (options: TailLatencyGuardOptions): TailLatencyGuard => {
    const {
        document,
        models,
        evictionsOf,
        laxityOf: slackOf,
        teamLevelFactor: teamFactor = () => 1,
        placementTargetShare: placementMargin = 0.95,
        throttleTargetShare: throttleMargin = 0.95,
        lowestLevel: floor = 0.05,
        placementDeviations: caution = 1,
        reviewsBeforeEviction: patience = 10,
    } = options;
    const states = new Map<WorkerId, WorkerState>();
    let load = 0;

    const modelOf = models.forService;
    /** Services that have a tail to keep: those that were asked lately. */
    const activeServices = (): readonly (readonly [string, number])[] => {
        const since = performance.now() - idleAfter;
        return Object.entries(document().services)
            .filter(([service]) => modelOf(service).lastRequestAt >= since)
            .map(([service, { targetMs }]) => [service, targetMs] as const);
    };
    const stateOf = (worker: WorkerId): WorkerState => {
        const known = states.get(worker);
        if (known !== undefined) {
            return known;
        }
        const created: WorkerState = {
            tallies: new Map(),
            level: 1,
            reviewsAtFloor: 0,
            reviewsEased: 0,
            mixBefore: {},
        };
        states.set(worker, created);
        return created;
    };
    const predictMean = (service: string, mix: BatchMix, cautionNow = 0): number =>
        modelOf(service).interference.predict(load, mix, cautionNow);
    /** Largest share of a target that a service's tail is predicted to fill. */
    const fill = (mix: BatchMix, cautionNow: number): number => {
        let largest = 0;
        for (const [service, target] of activeServices()) {
            const predicted = predictMean(service, mix, cautionNow) * modelOf(service).tailRatio.value();
            largest = Math.max(largest, predicted / target);
        }
        return largest;
    };
    const learn = (account: WorkerAccount): void => {
        const state = stateOf(account.worker().id);
        const mixNow = mixOf(account);
        const batch = averageMix(state.mixBefore, mixNow);
        state.mixBefore = mixNow;
        for (const [service, { sum, count }] of state.tallies) {
            modelOf(service).interference.learn({ load, batch, mean: sum / count, count });
        }
        state.tallies.clear();
    };
    /** Highest level of the worker's tasks, times their teams' factors, at which no tail is predicted above target. */
    const allowedLevel = (account: WorkerAccount): number => {
        if (fill(mixOf(account, atFullSpeed), 0) <= throttleMargin) {
            return unthrottled;
        }
        for (let level = 1 / lowestFactor; level > floor; level -= levelStep) {
            if (fill(mixOf(account, task => levelFor(task, level)), 0) <= throttleMargin) {
                return level;
            }
        }
        return floor;
    };
    /** Level of one task where the worker's is `level`. */
    const levelFor = (task: HeldTask, level: number): number =>
        level === unthrottled ? 1 : Math.max(floor, Math.min(1, level * teamFactor(task.team)));
    const chooseLevel = (account: WorkerAccount, state: WorkerState): number => {
        const allowed = account.tasks.size === 0 ? unthrottled : allowedLevel(account);
        if (allowed <= state.level) {
            state.reviewsEased = 0;
            return allowed;
        }
        state.reviewsEased += 1;
        return state.reviewsEased >= easeDelay ? allowed : state.level;
    };
    const chooseEviction = (account: WorkerAccount, state: WorkerState): HeldTask | undefined => {
        const isMissed = account.tasks.size > 0 && fill(mixOf(account, () => floor), 0) > 1;
        // Where the load alone breaks the target, no eviction can mend it.
        const isLoad = fill({}, 0) > 1;
        state.reviewsAtFloor = isMissed && !isLoad ? state.reviewsAtFloor + 1 : 0;
        if (state.reviewsAtFloor < patience) {
            return undefined;
        }
        state.reviewsAtFloor = 0;
        const budget = (task: HeldTask): number => document().batchClasses[task.batchClass]?.evictions ?? 0;
        const [candidate] = [...account.tasks.values()]
            .filter(task => document().batchClasses[task.batchClass]?.checkpoints === true)
            .filter(task => evictionsOf(task.task) < budget(task))
            .sort((left, right) => slackOf(right.task) - slackOf(left.task));
        return candidate;
    };
    const measureLoad = (accounts: readonly WorkerAccount[]): void => {
        const slots = accounts.reduce((sum, account) => sum + account.worker().slots, 0);
        const requests = accounts.reduce((sum, account) => sum + account.requestCount(), 0);
        load += (requests / Math.max(1, slots) - load) * loadWeight;
    };
    return {
        recordRequest: (worker, service, latency) => {
            const { tallies, mixBefore } = stateOf(worker);
            const tally = tallies.get(service) ?? { sum: 0, count: 0 };
            tally.sum += latency;
            tally.count += 1;
            tallies.set(service, tally);
            const known = modelOf(service);
            known.lastRequestAt = performance.now();
            known.tailRatio.record(latency, predictMean(service, mixBefore));
        },
        score: (account, { batchClass, team }) => {
            // A team below its fair share may press those above it down to theirs; the next review does so.
            const isPoor = teamFactor(team) === 1;
            const mix = mixOf(account, isPoor ? task => teamFactor(task.team) : atFullSpeed);
            const filled = fill({ ...mix, [batchClass]: (mix[batchClass] ?? 0) + 1 }, caution);
            return filled > placementMargin ? undefined : 1 - filled;
        },
        canEverPlace: batchClass => fill({ [batchClass]: 1 }, caution) <= placementMargin,
        tailHeadroomShare: batchClass => {
            let largest = 0;
            for (const [service, target] of activeServices()) {
                const { interference: model, tailRatio: tail } = modelOf(service);
                const room = target / (predictMean(service, {}) * tail.value()) - 1;
                largest = Math.max(largest, room <= 0 ? 1 : model.effect(batchClass, load).slowDown / room);
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
            return Math.max(0, target * throttleMargin - predictMean(service, {}) * modelOf(service).tailRatio.value());
        },
    };
};
