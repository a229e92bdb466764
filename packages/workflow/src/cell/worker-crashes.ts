import { crashWeights } from "../ledger/crash-weights.js";
import type { RunRegistry } from "./run-registry.js";
import type { Run } from "./run.js";
import type { WorkerSession } from "./worker-session.js";

/** A run that may have crashed its worker. */
export interface SuspectRun {
    readonly run: Run;
    /** One of `crashWeights`. */
    readonly weight: number;
}

/** The crashes of a cell's workers, and the runs that may have caused them. */
export interface WorkerCrashes {
    /**
     * Records that the worker's process has ended without notice. Returns the runs on it that may have caused that: those
     * that had started just before its first failed poll.
     */
    readonly record: (session: WorkerSession) => readonly SuspectRun[];
    /** Whether a worker at this worker's address has crashed a short time ago. */
    readonly isRecent: (session: WorkerSession) => boolean;
}

/** Milliseconds from the start of a task that crashes its worker within which a poll of the worker fails. */
const timeToCrash = 300;
/** Milliseconds for which an address counts as that of a worker which crashes by itself. */
const recentTime = 20_000;

/** Creates a record without crashes. */
export const createWorkerCrashes = (runRegistry: RunRegistry): WorkerCrashes => {
    /** Monotonic times in ms of the last crashes, by address: a worker may be back under another id. */
    const crashedAt = new Map<string, number>();
    const isRecent = (session: WorkerSession): boolean =>
        performance.now() - (crashedAt.get(session.entry().address) ?? -Infinity) < recentTime;
    return {
        isRecent,
        record: session => {
            const crashTime = session.failingSince() ?? performance.now();
            const suspects = [...runRegistry.ofWorker(session.id)].filter(run =>
                !run.isProven && run.orderedAt <= crashTime && crashTime - run.startedAt < timeToCrash
            );
            const isOnly = suspects.length === 1 && !isRecent(session);
            crashedAt.set(session.entry().address, performance.now());
            return suspects.map(run => ({ run, weight: isOnly ? crashWeights.only : crashWeights.shared }));
        },
    };
};
