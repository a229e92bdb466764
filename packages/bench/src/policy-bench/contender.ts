import type { PlacementScore, WorkerAccount } from "@jayfront/policy";
import { createLatencyModels, createTailLatencyGuard } from "@jayfront/policy";
import type { EnvironmentDocument, TaskId, WorkerId } from "@jayfront/world";

import type { UserWorkload } from "./user-workload.js";

/** What a contender may ask of the run. */
export interface ContenderContext {
    readonly workload: UserWorkload;
    readonly document: () => EnvironmentDocument;
    /** Share of slots that requests take now. */
    readonly requestLoad: () => number;
    readonly elapsedSeconds: () => number;
    readonly evictionsOf: (task: TaskId) => number;
    readonly laxityOf: (task: TaskId) => number;
    readonly teamLevelFactor: (team: string) => number;
    /** Hidden state, for the oracle only. */
    readonly hidden: { readonly slowness: () => number; readonly disturbance: (batchClass: string) => number; };
}

/** Orders of one second. */
export interface ContenderOrders {
    readonly levels: readonly { readonly worker: WorkerId; readonly task: TaskId; readonly level: number; }[];
    readonly evictions: readonly { readonly worker: WorkerId; readonly task: TaskId; }[];
}

/** A way of scheduling that the benchmark compares. */
export interface Contender {
    readonly score: PlacementScore;
    readonly canEverPlace?: (batchClass: string) => boolean;
    readonly tailHeadroomShare?: (batchClass: string) => number;
    readonly candidateCount: number;
    /** Whether requests may go to the worker. */
    readonly mayServe: (worker: number) => boolean;
    readonly recordRequest: (worker: WorkerId, service: string, latency: number) => void;
    /** Milliseconds that a request may wait for a slot. */
    readonly maxQueueWait: () => number;
    readonly review: (accounts: readonly WorkerAccount[]) => ContenderOrders;
}

const nothing: ContenderOrders = { levels: [], evictions: [] };
const numberOf = (account: WorkerAccount): number => Number(account.worker().id.split("-w")[1]);

const createJayfront = (view: ContenderContext): Contender => {
    const guard = createTailLatencyGuard({
        document: view.document,
        models: createLatencyModels(view.document),
        evictionsOf: view.evictionsOf,
        laxityOf: view.laxityOf,
        teamLevelFactor: view.teamLevelFactor,
    });
    return {
        score: guard.score,
        canEverPlace: guard.canEverPlace,
        tailHeadroomShare: guard.tailHeadroomShare,
        candidateCount: 8,
        mayServe: () => true,
        recordRequest: guard.recordRequest,
        maxQueueWait: () => guard.allowedWait(view.workload.service),
        review: accounts => {
            const orders = guard.review(accounts);
            return {
                levels: orders.levels.map(({ worker, task, level }) => ({ worker, task: task.task, level })),
                evictions: orders.evictions.map(({ worker, task }) => ({ worker, task: task.task })),
            };
        },
    };
};

/** The first worker by name that has room by declared size; no regard for services. */
const createFirstFit = (view: ContenderContext): Contender => ({
    score: account => -numberOf(account),
    candidateCount: 1_000,
    mayServe: () => true,
    recordRequest: () => undefined,
    maxQueueWait: () => view.workload.targetMs / 2,
    review: () => nothing,
});

/** Highest load of a day, for which a static split has to be made. */
const peakLoad = 0.65;
const splitLoadLimit = 0.8;

const createStaticSplit = (view: ContenderContext): Contender => {
    const serviceWorkers = Math.min(
        view.workload.workers - 1,
        Math.ceil(view.workload.workers * peakLoad / splitLoadLimit),
    );
    const isService = (worker: number): boolean => worker <= serviceWorkers;
    return {
        ...createFirstFit(view),
        score: account => isService(numberOf(account)) ? undefined : -numberOf(account),
        mayServe: isService,
    };
};

/** The oracle has to keep the target in windows of some hundred requests, whose 99th percentile scatters by 4%. */
const oracleMargin = 0.88;
const oracleFloor = 0.05;

/** Knows every hidden pair and the exact tail; bounds what any scheduler could do. */
const createOracle = (view: ContenderContext): Contender => {
    const { workload: world, hidden } = view;
    const alone = world.hidden.services[world.service] ?? { median: 1, spread: 1 };
    const tail = (disturbance: number): number => {
        const load = Math.min(1, view.requestLoad());
        return alone.median * alone.spread * (1 + 0.5 * load) * (1 + disturbance * (1 + load)) * hidden.slowness();
    };
    const disturbanceOf = (account: WorkerAccount): number =>
        [...account.tasks.values()].reduce((sum, task) => sum + hidden.disturbance(task.batchClass), 0);
    const levelOf = (account: WorkerAccount): number => {
        const full = disturbanceOf(account);
        for (let level = 1; level > oracleFloor; level -= 0.05) {
            if (tail(full * level) <= world.targetMs * oracleMargin) {
                return level;
            }
        }
        return oracleFloor;
    };
    return {
        score: (account, { batchClass }) => {
            const predicted = tail(disturbanceOf(account) + hidden.disturbance(batchClass));
            return predicted > world.targetMs * oracleMargin ? undefined : -predicted;
        },
        canEverPlace: batchClass => tail(hidden.disturbance(batchClass)) <= world.targetMs * oracleMargin,
        tailHeadroomShare: batchClass => {
            const room = world.targetMs / tail(0) - 1;
            return room <= 0 ? 1 : Math.min(1, hidden.disturbance(batchClass) / room);
        },
        candidateCount: 8,
        mayServe: () => true,
        recordRequest: () => undefined,
        maxQueueWait: () => Math.max(0, world.targetMs * oracleMargin - tail(0)),
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

/** Contenders by name. */
export const contenders: Readonly<Record<string, (view: ContenderContext) => Contender>> = {
    jayfront: createJayfront,
    "first-fit": createFirstFit,
    "static split": createStaticSplit,
    oracle: createOracle,
};
