import type { JobId } from "@jayfront/world";

import type { StepRecord } from "../ledger/step-record.js";
import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { Queue } from "../model/queue.js";
import type { CellLease } from "./cell-lease.js";
import type { CellSummary } from "./cell-summary.js";
import type { CellWorker } from "./cell-workers.js";
import { usableWorkers } from "./cell-workers.js";
import type { RunStatistics } from "./run-statistics.js";

/** Options of {@link summarizeCell}. */
export interface SummarizeCellOptions {
    readonly lease: CellLease;
    readonly isActive: boolean;
    readonly isBehind: boolean;
    readonly placementReserve: number;
    /** Workflows accepted since the last summary. */
    readonly accepted: readonly JobId[];
    readonly ledgers: Iterable<WorkflowLedger>;
    /** Ledgers of tasks that other cells have transferred to this one. */
    readonly transferredLedgers: Iterable<WorkflowLedger>;
    readonly workers: Iterable<CellWorker>;
    readonly queueOf: (ledger: WorkflowLedger) => Queue;
    readonly runTime: RunStatistics["runTime"];
}

/** Millicores that the waiting tasks of a workflow's long-running steps request, of those steps that `isCounted` accepts. */
export const waitingLongRunningCpu = (
    { workflow: { steps }, firstStage }: WorkflowLedger,
    isCounted: (record: StepRecord) => boolean = () => true,
): number => {
    let waiting = 0;
    for (const [number, step] of steps.entries()) {
        if (step.isLasting) {
            const record = firstStage(number)?.record;
            waiting += record === undefined || isCounted(record) ? (record?.waiting.size ?? step.count) * step.cpu : 0;
        }
    }
    return waiting;
};

/** Summarizes a cell for all entry hosts. */
export const summarizeCell = (options: SummarizeCellOptions): CellSummary => {
    const { lease, isActive, isBehind, placementReserve, accepted, ledgers, transferredLedgers, workers } = options;
    const { queueOf, runTime } = options;
    const pending: Record<string, number> = {};
    const backlog: number[] = [];
    let waitingCpu = 0;
    for (const ledger of ledgers) {
        if (ledger.isSettled()) {
            continue;
        }
        const queue = queueOf(ledger);
        if (ledger.state() === "queued") {
            pending[queue.name] = (pending[queue.name] ?? 0) + 1;
        }
        const { id, steps } = ledger.workflow;
        let work = 0;
        waitingCpu += waitingLongRunningCpu(ledger);
        for (const [number, step] of steps.entries()) {
            if (!step.isLasting) {
                const record = ledger.firstStage(number)?.record;
                work += (step.count - (record?.done.size ?? 0)) * step.cpu * runTime(id, queue, step, number);
            }
        }
        backlog[queue.priority] = (backlog[queue.priority] ?? 0) + work;
    }
    for (const ledger of transferredLedgers) {
        waitingCpu += waitingLongRunningCpu(ledger);
    }
    const usable = usableWorkers(workers);
    return {
        cell: lease.cell,
        epoch: lease.epoch,
        isActive,
        isBehind,
        placementReserve,
        provenAgo: performance.now() - lease.provenAt(),
        pending,
        racks: [...new Set(usable.map(({ session }) => session.entry().rack))],
        capacityCpu: usable.reduce((sum, { resources }) => sum + resources.capacity().cpu, 0),
        // Waiting long-running tasks count as if they ran: once started, they keep their resources for a long time.
        usedCpu: usable.reduce(
            (sum, { resources }) => sum + resources.capacity().cpu - resources.spareCpu(),
            waitingCpu,
        ),
        freeCpu: usable.reduce((sum, { resources }) => sum + resources.freeCpu(), 0),
        backlog: Array.from(backlog, (value: number | undefined) => Math.round(value ?? 0)),
        accepted,
    };
};
