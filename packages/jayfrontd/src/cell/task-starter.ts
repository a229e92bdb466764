import type { StartAnswer } from "@jayfront/platform";
import type { Placement } from "@jayfront/policy";
import type { WorkerId } from "@jayfront/world";

import type { CellContext } from "./cell-context.js";
import type { ChunkRegistry } from "./chunk-registry.js";
import type { HeldWorker } from "./held-worker.js";

/** Places and starts the tasks of active chunks. */
export interface TaskStarter {
    /** Places as many waiting tasks as it can and sends the start commands. */
    readonly startTasks: () => void;
    /** Resolves starts of unknown outcome after an adoption; the inventory must have been handled before. */
    readonly onAdopted: (held: HeldWorker) => void;
}

/** Options of {@link createTaskStarter}. */
export interface TaskStarterOptions {
    readonly context: CellContext;
    readonly registry: ChunkRegistry;
    /** Requests a write without waiting for the next interval. */
    readonly requestWrite: () => void;
    /** Monotonic time in milliseconds at which a chunk became startable, by the chunk's key. */
    readonly readySince: ReadonlyMap<string, number>;
}

/** Tasks of a non-idempotent job that an intent covers ahead of those already started. */
const intentWindowTasks = 32;
const maxStartsPerRound = 256;

/** Creates the starter of a held cell. */
export const createTaskStarter = (
    { context, registry, requestWrite, readySince }: TaskStarterOptions,
): TaskStarter => {
    const { platform, scheduler, workers, logger, metrics } = context;
    const { activeKeys, ledgerOf, ledgers, placed, requeue, release } = registry;

    const applyStartAnswer = (held: HeldWorker, placement: Placement, answer: StartAnswer): void => {
        if (placed.get(placement.task) !== placement || !held.starting.delete(placement.task)) {
            // An inventory has resolved this start in the meantime.
            return;
        }
        if (answer === undefined) {
            held.confirmedAt.set(placement.task, performance.now());
            return;
        }
        logger.debug({ task: placement.task, worker: held.worker.id, answer }, "worker refused a task");
        held.isDraining ||= answer === "leaving";
        if (held.isDraining) {
            scheduler.setUsable(held.worker.id, false);
        }
        revertPlacement(held, placement);
    };
    const revertPlacement = (held: HeldWorker, placement: Placement): void => {
        release(held, placement.task);
        const ledger = ledgerOf(placement.task);
        if (ledger !== undefined) {
            requeue(ledger, { ...placement.pending, attempt: placement.pending.attempt + 1 });
        }
    };
    const revertUnsettled = (held: HeldWorker, placements: readonly Placement[]): void => {
        for (const placement of placements) {
            if (placed.get(placement.task) === placement && held.starting.has(placement.task)) {
                revertPlacement(held, placement);
            }
        }
    };
    const sendStarts = async (held: HeldWorker, placements: readonly Placement[]): Promise<void> => {
        if (held.needsAdoption) {
            // A start that runs concurrently with an adoption could be missing from the inventory.
            revertUnsettled(held, placements);
            return;
        }
        const answers = await platform.workers.start(held.worker, held.fence, placements.map(entry => entry.start));
        if (context.signal.aborted) {
            return;
        }
        if (answers.isOk) {
            placements.forEach((placement, position) => {
                applyStartAnswer(held, placement, answers.value[position]);
            });
            return;
        }
        held.needsAdoption = true;
        scheduler.setUsable(held.worker.id, false);
        if (answers.error.kind !== "unknown") {
            revertUnsettled(held, placements);
        }
        // If the outcome is unknown, the inventory of the next adoption shows which of these tasks run.
    };
    const startLimit = (key: string): number => {
        const ledger = ledgers.get(key);
        return ledger === undefined || ledger.job.specification.idempotent ? Infinity : ledger.durableIntent();
    };
    const raiseIntents = (): boolean => {
        let isRaised = false;
        for (const key of activeKeys) {
            const ledger = ledgers.get(key);
            if (ledger === undefined || ledger.job.specification.idempotent || scheduler.pendingCountOf(key) === 0) {
                continue;
            }
            const { first, count, intentUpTo } = ledger.chunk();
            const started = count - scheduler.pendingCountOf(key);
            const raisedIntent = Math.min(first + count, first + started + intentWindowTasks);
            if (raisedIntent > intentUpTo && intentUpTo - (first + started) < intentWindowTasks / 2) {
                ledger.raiseIntent(raisedIntent);
                isRaised = true;
            }
        }
        return isRaised;
    };
    const recordPlacement = (placement: Placement): void => {
        const { team, batchClass, key } = placement.work;
        placed.set(placement.task, placement);
        workers.get(placement.worker)?.starting.add(placement.task);
        const waited = performance.now() - (readySince.get(key) ?? performance.now());
        metrics.taskWaitSeconds.observe({ team, class: batchClass }, waited / 1_000);
    };
    return {
        startTasks: () => {
            const placements = scheduler.place(maxStartsPerRound, startLimit);
            placements.forEach(recordPlacement);
            const byWorker = new Map<WorkerId, Placement[]>();
            for (const placement of placements) {
                byWorker.set(placement.worker, [...byWorker.get(placement.worker) ?? [], placement]);
            }
            for (const [worker, group] of byWorker) {
                const held = workers.get(worker);
                if (held !== undefined) {
                    void sendStarts(held, group);
                }
            }
            if (raiseIntents()) {
                requestWrite();
            }
        },
        onAdopted: held => {
            // A start sent with the earlier fence is either in the inventory or will be refused by the worker.
            const unsettled = [...held.starting].flatMap(task => placed.get(task) ?? []);
            revertUnsettled(held, unsettled);
        },
    };
};
