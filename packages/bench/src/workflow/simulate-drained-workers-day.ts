import type { ProtocolEvent } from "@jayfront/platform-stand-in";
import { findBreach } from "@jayfront/platform-stand-in";
import type { Logger } from "pino";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import type { FakeTime } from "../util/fake-time.js";
import type { DrainedWorkersFaultContext } from "./drained-workers-faults.js";
import { drainWorker, holderFaults, orderFaults, workerFaults } from "./drained-workers-faults.js";
import type { LostTask } from "./find-lost-tasks.js";
import { findLostTasks } from "./find-lost-tasks.js";
import { createOverlapSafeCluster } from "./overlap-safe-cluster.js";
import type { Disturbance } from "./service-history.js";
import { createWorkflowCluster } from "./workflow-cluster.js";

/** Result of {@link simulateDrainedWorkersDay}. */
export interface DrainedWorkersDay {
    /** Everything that workers did, in order. */
    readonly events: readonly ProtocolEvent[];
    /** The first violation of the worker protocol; undefined if there was none. */
    readonly breach: string | undefined;
    /** The long-running tasks that did not run again in time. */
    readonly lost: readonly LostTask[];
    /** Number of long-running tasks that had started before the first fault. */
    readonly started: number;
    /** Injected faults, in order, with their monotonic time in ms. */
    readonly faults: readonly string[];
}

/** Options of {@link simulateDrainedWorkersDay}. */
export interface DrainedWorkersDayOptions {
    readonly seed: number;
    readonly time: FakeTime;
    /** Logger of the hosts. Default: silent. */
    readonly logger?: Logger;
}

const job = "00000000000000a1";
/** Millicores of each task; a worker has 16,000. */
const cpu = 4_000;
/** Milliseconds from the start of all hosts to the first submission, and from there to the first possible fault. */
const warmUp = 3_000;
const startTime = 3_000;
/** Milliseconds in which faults are injected. */
const faultTime = 8_000;
/** Milliseconds of it from which the holder may be lost. */
const holderTime = 2_000;
/** Milliseconds within which the first worker begins to drain, and from there the others. */
const drainTime = 2_000;
/** Milliseconds in which urgent work goes on after the last fault. */
const recoveryTime = 24_000;
/** Milliseconds between two urgent workflows, and of work of their tasks. */
const urgentInterval = 250;
const urgentWork = 100;
const mostUrgentTasks = 8;
const mostLongRunningTasks = 6;
const mostDraining = 3;
const mostOrderFaults = 2;
const mostWorkerFaults = 2;

/**
 * Simulates a cell of which workers with long-running tasks drain while orders, the holder and other workers fail, all
 * within a few seconds, in fake time; the same seed gives the same events.
 */
export const simulateDrainedWorkersDay = async (
    { seed, time, logger }: DrainedWorkersDayOptions,
): Promise<DrainedWorkersDay> => {
    const random = xoroshiro128plus(seed);
    const draw = (): number => uniformFloat64(random);
    const pick = <Item>(items: readonly Item[]): Item | undefined => items[Math.floor(draw() * items.length)];
    const drawCount = (most: number): number => 1 + Math.floor(draw() * most);
    const cluster = createOverlapSafeCluster(createWorkflowCluster({
        hosts: { "east-a": 3 },
        workers: { "east-a": 8 },
        longestLease: 10_000,
        cpuOf: () => cpu,
        ...(logger === undefined ? {} : { logger }),
    }));
    const { platform } = cluster;
    const disturbances: Disturbance[] = [];
    const faults: string[] = [];
    const runAfter = (milliseconds: number, action: () => void): void => {
        setTimeout(action, milliseconds);
    };
    const context: DrainedWorkersFaultContext = {
        cluster,
        draw,
        pick,
        runAfter,
        beginDisturbance: () => {
            const disturbance: Disturbance = { from: performance.now(), until: Infinity };
            disturbances.push(disturbance);
            return () => {
                disturbance.until = performance.now();
            };
        },
        draining: new Set(),
        workersOfTasks: () =>
            [...platform.workers].filter(([, worker]) => worker.running().some(task => task.startsWith(job)))
                .map(([id]) => id),
    };
    const schedule = (
        name: string,
        inject: (context: DrainedWorkersFaultContext) => void,
        from: number,
        until: number,
    ): void => {
        runAfter(from + draw() * (until - from), () => {
            faults.push(`${String(Math.round(performance.now()))} ms: ${name}`);
            inject(context);
        });
    };
    const scheduleOneOf = (candidates: typeof orderFaults, from: number, until: number): void => {
        const name = pick(Object.keys(candidates)) ?? "";
        schedule(name, faultContext => candidates[name]?.(faultContext), from, until);
    };
    const mostUrgent = Math.floor(draw() * (mostUrgentTasks + 1));
    let urgentWorkflows = 0;
    const passWithUrgentWork = async (duration: number): Promise<void> => {
        for (let passed = 0; passed < duration; passed += urgentInterval) {
            const host = pick([...cluster.hosts.keys()]) ?? "";
            urgentWorkflows += 1;
            const id = (1_000 + urgentWorkflows).toString(16).padStart(16, "0");
            const count = Math.floor(draw() * (mostUrgent + 1));
            if (count > 0) {
                void cluster.submit(host, id, [{ count, cpu }], { work: urgentWork });
            }
            await time.advance(urgentInterval);
        }
    };
    await time.advance(warmUp);
    const count = drawCount(mostLongRunningTasks);
    void cluster.submit(cluster.holder() ?? "", job, [{ count, cpu, isLasting: true }], { isLasting: true });
    await passWithUrgentWork(startTime);
    const tasks = [...platform.workers.values()].flatMap(worker => worker.running())
        .filter(task => task.startsWith(job));
    const drainAt = draw() * drainTime;
    for (let number = drawCount(mostDraining); number > 0; number -= 1) {
        schedule("drain a worker", drainWorker, drainAt, drainAt + drainTime);
    }
    for (let number = drawCount(mostOrderFaults); number > 0; number -= 1) {
        scheduleOneOf(orderFaults, 0, holderTime + drainTime);
    }
    for (let number = drawCount(mostWorkerFaults); number > 0; number -= 1) {
        scheduleOneOf(workerFaults, 0, holderTime + drainTime);
    }
    // What the former holder knows of the faults before is lost with it.
    scheduleOneOf(holderFaults, holderTime, faultTime);
    await passWithUrgentWork(faultTime + recoveryTime);
    const { events } = platform.journal;
    const endedAt = performance.now();
    cluster.stop();
    return {
        events,
        breach: findBreach(events),
        lost: findLostTasks(tasks, { events, disturbances, endedAt }),
        started: tasks.length,
        faults,
    };
};
