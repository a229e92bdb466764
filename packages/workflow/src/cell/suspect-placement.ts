import type { WorkerId } from "@jayfront/world";

import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { CellWorker } from "./cell-workers.js";
import type { RunRegistry } from "./run-registry.js";
import type { Run } from "./run.js";
import type { WorkerCrashes } from "./worker-crashes.js";

/**
 * Keeps tasks that are suspected to crash workers apart: each starts on a worker without another run that may crash it, no
 * task starts there until the run is proven, and a workflow has one such run at a time.
 */
export interface SuspectPlacement {
    /** Looks for unproven runs of suspects; to be called at the beginning of a pass. */
    readonly beginPass: () => void;
    /** Records that a suspect starts on the worker. */
    readonly recordStart: (ledger: WorkflowLedger, worker: CellWorker) => void;
    /** Whether the worker has an unproven run of a suspect. */
    readonly isOnTrial: (worker: CellWorker) => boolean;
    /** Whether the workflow has an unproven run of a suspect. */
    readonly hasTrial: (ledger: WorkflowLedger) => boolean;
    /** Those of the workers on which a crash would have one possible cause and cost least. */
    readonly select: (workers: readonly CellWorker[]) => readonly CellWorker[];
}

/** Loss of a long-running task, as a multiple of that of another one: its users are not served until it runs again. */
const longRunningLoss = 3;
/** Loss that stands for a worker which crashes by itself; exceeds that of all runs on a worker. */
const unstableWorkerLoss = 1_000;

/** Creates the placement of suspects of one cell. */
export const createSuspectPlacement = (
    runRegistry: RunRegistry,
    workerCrashes: Pick<WorkerCrashes, "isRecent">,
): SuspectPlacement => {
    const workersOnTrial = new Set<WorkerId>();
    const ledgersOnTrial = new Set<WorkflowLedger>();
    const isTrial = (run: Run): boolean => !run.isProven && run.ledger.crashWeight(run.position) > 0;
    const lossOn = ({ session }: CellWorker): number =>
        [...runRegistry.ofWorker(session.id)].reduce(
            (sum, { step }) => sum + (step.isLasting ? longRunningLoss : 1),
            workerCrashes.isRecent(session) ? unstableWorkerLoss : 0,
        );
    return {
        beginPass: () => {
            workersOnTrial.clear();
            ledgersOnTrial.clear();
            for (const run of runRegistry.all()) {
                if (isTrial(run)) {
                    workersOnTrial.add(run.worker);
                    ledgersOnTrial.add(run.ledger);
                }
            }
        },
        recordStart: (ledger, { session }) => {
            workersOnTrial.add(session.id);
            ledgersOnTrial.add(ledger);
        },
        isOnTrial: ({ session }) => workersOnTrial.has(session.id),
        hasTrial: ledger => ledgersOnTrial.has(ledger),
        select: workers => {
            const unambiguous = workers.filter(({ session }) =>
                [...runRegistry.ofWorker(session.id)].every(run => run.isProven)
            );
            const least = Math.min(...unambiguous.map(lossOn));
            return unambiguous.filter(worker => lossOn(worker) === least);
        },
    };
};
