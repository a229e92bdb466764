import type { JobId } from "@jayfront/world";

import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { Step } from "../model/step.js";
import type { Workflow } from "../model/workflow.js";
import type { LongRunningCapacity } from "../policy/long-running-capacity.js";
import { longRunningCpu, longRunningRoomShare } from "../policy/long-running-capacity.js";
import { firstShortLivedCpu, shortLivedRoomShare } from "../policy/short-lived-room.js";
import type { CellWorkers } from "./cell-workers.js";
import { waitingLongRunningCpu } from "./summarize-cell.js";
import { waitingShortLivedCpu } from "./waiting-short-lived-cpu.js";

/** Room of a cell for further tasks, beside all that waits there already. */
export interface CellRoom {
    /** Share of the workflow's tasks for which the cell has room; at least 1 where all fit. */
    readonly shareFor: (steps: readonly Step[]) => number;
    /** Room for long-running tasks of other cells; tasks that wait in vain take none of it. */
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

/** Creates the room of a cell. */
export const createCellRoom = (options: CellRoomOptions): CellRoom => {
    const { workers, ledgers, transferredLedgers, pendingWorkflows } = options;

    const measureWorkers = (): Omit<LongRunningCapacity, "waitingCpu"> => {
        const usable = [...workers.values()].filter(({ session }) =>
            session.contact() === "known" && !session.entry().isDraining
        );
        return {
            freeByWorker: usable.map(({ resources }) => ({ cpu: resources.freeCpu(), memory: resources.freeMemory() })),
            capacityCpu: usable.reduce((sum, { resources }) => sum + resources.capacity().cpu, 0),
        };
    };
    /** Adds up what the workflows of the cell wait for, and those that are about to be accepted. */
    const sumWaiting = (
        ofLedger: (ledger: WorkflowLedger) => number,
        ofPending: (steps: readonly Step[]) => number,
    ): number => {
        let waiting = 0;
        for (const ledger of [...ledgers.values(), ...transferredLedgers.values()]) {
            waiting += ledger.isSettled() ? 0 : ofLedger(ledger);
        }
        for (const { id, steps } of pendingWorkflows()) {
            waiting += ledgers.has(id) ? 0 : ofPending(steps);
        }
        return waiting;
    };
    return {
        shareFor: steps => {
            const { freeByWorker, capacityCpu } = measureWorkers();
            const waitingLongRunning = sumWaiting(waitingLongRunningCpu, longRunningCpu);
            const waitingShortLived = sumWaiting(waitingShortLivedCpu, firstShortLivedCpu);
            return Math.min(
                longRunningRoomShare(steps, { freeByWorker, capacityCpu, waitingCpu: waitingLongRunning }),
                shortLivedRoomShare(steps, { freeByWorker, waitingCpu: waitingShortLived }),
            );
        },
        forTransfers: () => ({
            ...measureWorkers(),
            waitingCpu: sumWaiting(
                ledger => waitingLongRunningCpu(ledger, ({ noRoomSince }) => noRoomSince === undefined),
                longRunningCpu,
            ),
        }),
    };
};
