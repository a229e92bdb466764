import type { StartAnswer } from "@jayfront/platform";
import type { Placement } from "@jayfront/policy";
import type { WorkerId } from "@jayfront/world";

import type { CellContext } from "./cell-context.js";
import type { ChunkRegistry } from "./chunk-registry.js";
import type { HeldWorker } from "./held-worker.js";

/** Places and starts the tasks of active chunks. */
export interface TaskStarter {
    readonly startTasks: () => void;
    /** Settles starts with unknown outcome after an adoption, whose inventory was taken in already. */
    readonly onAdopted: (held: HeldWorker) => void;
}

/** Options of {@link createTaskStarter}. */
export interface TaskStarterOptions {
    readonly context: CellContext;
    readonly registry: ChunkRegistry;
    /** Asks for a write soon. */
    readonly requestWrite: () => void;
    /** Monotonic milliseconds at which a chunk became startable. */
    readonly readySince: ReadonlyMap<string, number>;
}

/** Tasks that one intent of a non-idempotent job covers. */
const intentWindow = 32;
const startsPerRound = 256;

/** Creates the starts of a cell. */
export const createTaskStarter = (
    { context, registry: book, requestWrite, readySince }: TaskStarterOptions,
): TaskStarter => {
    const { platform, scheduler, workers, logger, metrics } = context;
    const { activeKeys: active, ledgerOf, ledgers, placed, requeue: putBack, release } = book;

    const settleStart = (held: HeldWorker, placement: Placement, answer: StartAnswer): void => {
        if (placed.get(placement.task) !== placement || !held.starting.delete(placement.task)) {
            // An inventory has settled this start meanwhile.
            return;
        }
        if (answer === undefined) {
            held.confirmedAt.set(placement.task, performance.now());
            return;
        }
        logger.debug({ task: placement.task, worker: held.worker.id, answer }, "a worker refused a task");
        held.isLeaving ||= answer === "leaving";
        if (held.isLeaving) {
            scheduler.setUsable(held.worker.id, false);
        }
        returnPlacement(held, placement);
    };
    const returnPlacement = (held: HeldWorker, placement: Placement): void => {
        release(held, placement.task);
        const ledger = ledgerOf(placement.task);
        if (ledger !== undefined) {
            putBack(ledger, { ...placement.pending, attempt: placement.pending.attempt + 1 });
        }
    };
    const returnUnsettled = (held: HeldWorker, placements: readonly Placement[]): void => {
        for (const placement of placements) {
            if (placed.get(placement.task) === placement && held.starting.has(placement.task)) {
                returnPlacement(held, placement);
            }
        }
    };
    const sendStarts = async (held: HeldWorker, placements: readonly Placement[]): Promise<void> => {
        if (held.needsAdoption) {
            // A start beside an adoption could run without being in the inventory.
            returnUnsettled(held, placements);
            return;
        }
        const answers = await platform.workers.start(held.worker, held.fence, placements.map(entry => entry.start));
        if (context.signal.aborted) {
            return;
        }
        if (answers.isOk) {
            placements.forEach((placement, position) => {
                settleStart(held, placement, answers.value[position]);
            });
            return;
        }
        held.needsAdoption = true;
        scheduler.setUsable(held.worker.id, false);
        if (answers.error.kind !== "unknown") {
            returnUnsettled(held, placements);
        }
        // After an unknown outcome the next adoption's inventory tells which of these run.
    };
    const startLimit = (key: string): number => {
        const ledger = ledgers.get(key);
        return ledger === undefined || ledger.job.specification.idempotent ? Infinity : ledger.durableIntent();
    };
    const raiseIntents = (): boolean => {
        let isRaised = false;
        for (const key of active) {
            const ledger = ledgers.get(key);
            if (ledger === undefined || ledger.job.specification.idempotent || scheduler.pendingOf(key) === 0) {
                continue;
            }
            const { first, count, intentUpTo } = ledger.chunk();
            const started = count - scheduler.pendingOf(key);
            const wanted = Math.min(first + count, first + started + intentWindow);
            if (wanted > intentUpTo && intentUpTo - (first + started) < intentWindow / 2) {
                ledger.raiseIntent(wanted);
                isRaised = true;
            }
        }
        return isRaised;
    };
    const notePlacement = (placement: Placement): void => {
        const { team, batchClass, key } = placement.work;
        placed.set(placement.task, placement);
        workers.get(placement.worker)?.starting.add(placement.task);
        const waited = performance.now() - (readySince.get(key) ?? performance.now());
        metrics.taskWaitSeconds.observe({ team, class: batchClass }, waited / 1_000);
    };
    return {
        startTasks: () => {
            const placements = scheduler.place(startsPerRound, startLimit);
            placements.forEach(notePlacement);
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
            // Starts under the earlier fence either stand in the inventory or will be refused on arrival.
            const unsettled = [...held.starting].flatMap(task => placed.get(task) ?? []);
            returnUnsettled(held, unsettled);
        },
    };
};
