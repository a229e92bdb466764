import type { HeldTask } from "@jayfront/policy";
import { sleep } from "@jayfront/world";

import type { CellContext } from "./cell-context.js";
import type { HeldWorker } from "./held-worker.js";

/** Interval between reviews of the services' tail latencies. */
const reviewIntervalMs = 500;

/** Throttles and evicts tasks as the tail latency guard decides, until the cell is given up. */
export const runTailLatencyReviews = async (context: CellContext): Promise<void> => {
    const { cell, guard, logger, metrics, platform, signal, workers } = context;
    const throttleTasks = async (held: HeldWorker, tasks: readonly HeldTask[], level: number): Promise<void> => {
        const direction = level < (tasks[0]?.level ?? 1) ? "down" : "up";
        const answer = await platform.workers.throttle(held.worker, held.fence, tasks, level);
        if (answer.isOk) {
            metrics.throttles.inc({ direction });
            for (const task of tasks) {
                task.level = level;
            }
        }
    };
    const evictTask = async (held: HeldWorker, task: HeldTask): Promise<void> => {
        logger.info(
            { cell, worker: held.worker.id, task: task.task },
            "evicting a task to protect a service's tail latency",
        );
        metrics.evictions.inc({ reason: "tail" });
        // The answer is not needed: the next renewal reports the ended attempt with its checkpoint.
        await platform.workers.checkpoint(held.worker, held.fence, task);
    };
    const reviewWorkers = (): void => {
        const usable = [...workers.values()].filter(held => held.isReachable && !held.needsAdoption);
        const decisions = guard.review(usable.map(held => held.account));
        for (const held of usable) {
            const own = decisions.levels.filter(decision => decision.worker === held.worker.id);
            for (const level of new Set(own.map(decision => decision.level))) {
                void throttleTasks(
                    held,
                    own.filter(decision => decision.level === level).map(decision => decision.task),
                    level,
                );
            }
        }
        for (const { worker, task } of decisions.evictions) {
            const held = workers.get(worker);
            if (held !== undefined) {
                void evictTask(held, task);
            }
        }
    };
    while (!signal.aborted) {
        await sleep(reviewIntervalMs, signal);
        reviewWorkers();
    }
};
