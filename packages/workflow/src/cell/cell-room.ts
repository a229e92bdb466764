import type { JobId } from "@jayfront/world";

import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { Step } from "../model/step.js";
import type { Workflow } from "../model/workflow.js";
import type { LongRunningCapacity } from "../policy/long-running-capacity.js";
import { longRunningCpu, longRunningRoomShare } from "../policy/long-running-capacity.js";
import { firstShortLivedCpu, shortLivedRoomShare } from "../policy/short-lived-room.js";
import type { CellLoad } from "./cell-load.js";
import type { CellWorkers } from "./cell-workers.js";
import { usableWorkers } from "./cell-workers.js";
import { waitingLongRunningCpu } from "./summarize-cell.js";
import { waitingShortLivedCpu } from "./waiting-short-lived-cpu.js";

/** Room of a cell for further tasks, beside all that waits there already. */
export interface CellRoom {
    /** Share of the workflow's tasks for which the cell has room; at least 1 where all fit. */
    readonly shareFor: (steps: readonly Step[]) => number;
    readonly load: () => CellLoad;
    /** Whether nothing may start in the cell, since all workers that it could use are to be evacuated. */
    readonly isClosed: () => boolean;
    /** Room for long-running tasks of other cells; tasks that have found no room take none of it. */
    readonly forTransfers: () => LongRunningCapacity;
}

/** Options of {@link createCellRoom}. */
export interface CellRoomOptions {
    readonly workers: CellWorkers;
    readonly ledgers: ReadonlyMap<JobId, WorkflowLedger>;
    /** Ledgers of tasks that other cells have transferred to this one. */
    readonly transferredLedgers: ReadonlyMap<JobId, WorkflowLedger>;
    /** Workflows whose submissions are still in progress. */
    readonly pendingWorkflows: () => readonly Workflow[];
}

/** Millicores that the long-running tasks of a workflow request which its cell has to run, or runs for another cell. */
const acceptedLongRunningCpu = ({ workflow: { steps }, firstStage }: WorkflowLedger): number => {
    let sum = 0;
    for (const [number, step] of steps.entries()) {
        if (step.isLasting) {
            const record = firstStage(number)?.record;
            sum += (step.count - (record?.transferred.size ?? 0) - (record?.done.size ?? 0)) * step.cpu;
        }
    }
    return sum;
};

/** Creates the room of a cell. */
export const createCellRoom = (options: CellRoomOptions): CellRoom => {
    const { workers, ledgers, transferredLedgers, pendingWorkflows } = options;

    const measureWorkers = (): Omit<LongRunningCapacity, "waitingCpu"> => {
        const usable = usableWorkers(workers.values());
        return {
            freeByWorker: usable.map(({ resources }) => ({ cpu: resources.freeCpu(), memory: resources.freeMemory() })),
            capacityCpu: usable.reduce((sum, { resources }) => sum + resources.capacity().cpu, 0),
        };
    };
    /** Adds up what the workflows of the cell request, and those that are about to be accepted. */
    const sumRequested = (
        ofLedger: (ledger: WorkflowLedger) => number,
        ofPending: (steps: readonly Step[]) => number,
    ): number => {
        let sum = 0;
        for (const ledger of [...ledgers.values(), ...transferredLedgers.values()]) {
            sum += ledger.isSettled() ? 0 : ofLedger(ledger);
        }
        for (const { id, steps } of pendingWorkflows()) {
            sum += ledgers.has(id) ? 0 : ofPending(steps);
        }
        return sum;
    };
    return {
        shareFor: steps => {
            const { freeByWorker, capacityCpu } = measureWorkers();
            const waitingLongRunning = sumRequested(waitingLongRunningCpu, longRunningCpu);
            const waitingShortLived = sumRequested(waitingShortLivedCpu, firstShortLivedCpu);
            return Math.min(
                longRunningRoomShare(steps, { freeByWorker, capacityCpu, waitingCpu: waitingLongRunning }),
                shortLivedRoomShare(steps, { freeByWorker, waitingCpu: waitingShortLived }),
            );
        },
        load: () => {
            const usable = usableWorkers(workers.values());
            return {
                capacityCpu: usable.reduce((sum, { resources }) => sum + resources.capacity().cpu, 0),
                usedCpu: usable.reduce(
                    (sum, { resources }) => sum + resources.capacity().cpu - resources.spareCpu(),
                    sumRequested(waitingLongRunningCpu, longRunningCpu),
                ),
                longRunningCpu: sumRequested(acceptedLongRunningCpu, longRunningCpu),
            };
        },
        isClosed: () =>
            [...workers.values()].some(({ isEvacuated }) => isEvacuated())
            && usableWorkers(workers.values()).length === 0,
        forTransfers: () => ({
            ...measureWorkers(),
            waitingCpu: sumRequested(
                ledger => waitingLongRunningCpu(ledger, ({ noRoomSince }) => noRoomSince === undefined),
                longRunningCpu,
            ),
        }),
    };
};
