import type { WorkerHealth } from "@jayfront/policy";

import type { Queue } from "../model/queue.js";
import type { RelocationReason } from "../policy/relocation-reason.js";
import { relocationReason } from "../policy/relocation-reason.js";
import type { CellWorker, CellWorkers } from "./cell-workers.js";
import { mayStartOn } from "./cell-workers.js";
import type { ReplacementPlaces } from "./replacement-places.js";
import type { RunController } from "./run-controller.js";
import type { RunRegistry } from "./run-registry.js";
import type { RunTimePredictor } from "./run-statistics.js";
import type { Run } from "./run.js";

/** Stops runs that should continue on another worker, such as stalled runs and runs on draining workers. */
export interface RunWatchdog {
    /** Checks all runs. */
    readonly review: () => void;
}

/** Options of {@link createRunWatchdog}. */
export interface RunWatchdogOptions {
    readonly runRegistry: RunRegistry;
    readonly runController: Pick<RunController, "stop">;
    readonly workers: CellWorkers;
    readonly health: Pick<WorkerHealth, "recordEnd">;
    readonly runTime: RunTimePredictor;
    readonly queueOf: (run: Run) => Queue;
    readonly replacementPlaces: Pick<ReplacementPlaces, "has">;
    /** See `StageScheduler.keepPlaceElsewhere`. */
    readonly keepPlaceElsewhere: (run: Run) => boolean;
    /** See `StageScheduler.holdsReservedRoom`. */
    readonly holdsReservedRoom: (run: Run) => boolean;
}

/** Creates the watchdog of a cell. */
export const createRunWatchdog = (options: RunWatchdogOptions): RunWatchdog => {
    const { runRegistry, runController, workers, health, runTime, queueOf, replacementPlaces } = options;
    /** Whether another run of the workflow works, so that the workflow does not depend on the next start of this one. */
    const hasOtherRun = (run: Run): boolean =>
        runRegistry.ofWorkflow(run.position.job).some(other =>
            other !== run && other.phase === "running" && other.pace !== 0
        );
    /** Prepares the stop of a run by the reason for it; returns whether the run may be stopped. */
    const preparations: Readonly<Record<RelocationReason, (run: Run) => boolean>> = {
        "worker leaves": () => true,
        "stands still": run => {
            health.recordEnd(run.worker, run.position.job, true);
            return true;
        },
        // The only run of a workflow that works stays halted, unless it has a place elsewhere.
        halted: run => options.holdsReservedRoom(run) || options.keepPlaceElsewhere(run) || hasOtherRun(run),
    };

    /** The scheduler keeps no places for gangs, since a new run of a gang needs room for all of its members. */
    const hasRoomElsewhere = (run: Run, queue: Queue): boolean =>
        run.step.isGang
            ? [...workers.values()].some(worker =>
                worker.session.id !== run.worker && mayStartOn(worker, queue.service, run.step)
            )
            : replacementPlaces.has(run.task);
    /** Minimum milliseconds that a draining worker stays; empty for other workers. */
    const remainingStay = (
        { session, drainingSince }: CellWorker,
        now: number,
    ): { workerStays?: number; } =>
        drainingSince === undefined
            ? {}
            : { workerStays: Math.max(0, (session.entry().remaining ?? 0) - (now - session.entryAt())) };
    const judge = (run: Run, now: number): void => {
        const worker = workers.get(run.worker);
        if (worker === undefined || run.phase !== "running") {
            return;
        }
        const queue = queueOf(run);
        const { step } = run;
        const reason = relocationReason({
            isLasting: step.isLasting,
            isCheckpointing: step.isCheckpointing,
            isGang: step.isGang,
            age: now - run.startedAt,
            haltedFor: Math.max(0, now - run.haltedSince),
            unchangedFor: now - run.percentChangedAt,
            reportAge: now - run.reportedAt,
            percent: run.percent,
            // A run whose pace is not known may have been halted.
            pace: run.pace ?? 0,
            expectedTime: runTime(run.position.job, queue, step, run.position.step),
            ...remainingStay(worker, now),
            hasRoomElsewhere: worker.drainingSince !== undefined && step.isLasting && hasRoomElsewhere(run, queue),
        });
        if (reason !== undefined && preparations[reason](run)) {
            runController.stop(run, reason);
        }
    };
    return {
        review: () => {
            const now = performance.now();
            for (const run of [...runRegistry.all()]) {
                judge(run, now);
            }
        },
    };
};
