import type { JobId } from "@jayfront/world";

import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { Queue } from "../model/queue.js";
import type { CellLearning } from "./cell-learning.js";
import type { CellLease } from "./cell-lease.js";
import type { CellSummary } from "./cell-summary.js";
import type { CellWorker } from "./cell-workers.js";

/** What a cell's summary is made from. */
export interface CellSummaryOptions {
    readonly lease: CellLease;
    readonly isActive: boolean;
    /** Workflows accepted since the last summary. */
    readonly accepted: readonly JobId[];
    readonly ledgers: Iterable<WorkflowLedger>;
    readonly workers: Iterable<CellWorker>;
    readonly queueOf: (ledger: WorkflowLedger) => Queue;
    readonly runTime: CellLearning["runTime"];
}

/** Sums up a cell for all entry hosts. */
export const summarizeCell = (options: CellSummaryOptions): CellSummary => {
    const { lease, isActive, accepted, ledgers, workers, queueOf, runTime } = options;
    const pending: Record<string, number> = {};
    const backlog: number[] = [];
    for (const ledger of ledgers) {
        if (ledger.isSettled()) {
            continue;
        }
        const queue = queueOf(ledger);
        if (ledger.state() === "queued") {
            pending[queue.name] = (pending[queue.name] ?? 0) + 1;
        }
        const work = ledger.workflow.steps.reduce(
            (sum, step, number) => sum + (step.isLasting ? 0 : step.count * step.cpu * runTime(queue, step, number)),
            0,
        );
        backlog[queue.priority] = (backlog[queue.priority] ?? 0) + work;
    }
    const usable = [...workers].filter(({ session }) => session.contact() === "known" && !session.entry().isDraining);
    return {
        cell: lease.cell,
        epoch: lease.epoch,
        isActive,
        provenAgo: performance.now() - lease.provenAt(),
        pending,
        racks: [...new Set(usable.map(({ session }) => session.entry().rack))],
        capacityCpu: usable.reduce((sum, { room }) => sum + room.capacity().cpu, 0),
        usedCpu: usable.reduce((sum, { room }) => sum + room.capacity().cpu - room.spareCpu(), 0),
        backlog: Array.from(backlog, (value: number | undefined) => Math.round(value ?? 0)),
        accepted,
    };
};
