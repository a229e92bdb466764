import type { CellId, JobId } from "@jayfront/world";
import type { Logger } from "pino";

import type { StepRecord } from "../ledger/step-record.js";
import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { Queue } from "../model/queue.js";
import { taskName } from "../model/task-name.js";
import type { StateStore, StoredRow } from "../port/state-store.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import { decodeTransferRow } from "./decode-transfer-row.js";
import type { OtherCells } from "./other-cells.js";
import type { ProgressWriter } from "./progress-writer.js";
import { rowKeys } from "./row-keys.js";
import type { RunController } from "./run-controller.js";
import type { StrandedTasks } from "./stranded-tasks.js";

/** Transfers long-running tasks for which this cell has no room to cells that have room. */
export interface OutgoingTransfers {
    /** Starts to transfer tasks without room, unless an earlier review is still under way. */
    readonly review: () => void;
    /** Takes back the tasks that the cell `other` has marked as returned in a workflow's transfer row. */
    readonly applyReturns: (ledger: WorkflowLedger, other: CellId, row: StoredRow) => void;
    /** Reads a transfer row that the holder of the cell `other` reports to have changed. */
    readonly readReturns: (id: JobId, other: CellId) => Promise<void>;
}

/** Options of {@link createOutgoingTransfers}. */
export interface OutgoingTransfersOptions {
    readonly cell: CellId;
    readonly store: StateStore;
    readonly otherCells: Omit<OtherCells, "cpuRoom" | "placesIn" | "notifyArrival">;
    readonly findStranded: () => readonly StrandedTasks[];
    readonly ledgerOf: (id: JobId) => WorkflowLedger | undefined;
    readonly runController: Pick<RunController, "nextNumber" | "reserveNumbers">;
    readonly writer: Pick<ProgressWriter, "request" | "recordTransferRead">;
    readonly logger: Logger;
    readonly metrics: Pick<WorkflowMetrics, "transferredTasks">;
    readonly queueOf: (ledger: WorkflowLedger) => Queue;
    /** Aborts when the cell is stopped or its lease is lost. */
    readonly signal: AbortSignal;
}

/** Attempts to find room for the tasks of one step. */
interface Attempts {
    /** Monotonic time in ms of the last one. */
    readonly lastAt: number;
    /** Number of requests to cells so far. */
    readonly requests: number;
}

/** Milliseconds after which a task that never ran is preferred; one may not be left without a run for 3 s. */
const longWait = 1_800;
/** Cells that are asked for room for the tasks of one step in one review. */
const maxAskedCells = 2;
/** Largest number of bytes that a task takes in a transfer row. */
const bytesPerTask = 120;
/** Steps for which other cells are asked for room in one review. */
const maxStepsPerReview = 48;

/** Creates the outgoing transfers of a cell. */
export const createOutgoingTransfers = (options: OutgoingTransfersOptions): OutgoingTransfers => {
    const { cell, store, otherCells, findStranded, ledgerOf, runController, writer, logger, metrics } = options;
    const { queueOf, signal } = options;
    let isUnderWay = false;
    const attempts = new WeakMap<StepRecord, Attempts>();

    const attemptsOf = ({ stage: { record } }: StrandedTasks): Attempts =>
        attempts.get(record) ?? { lastAt: 0, requests: 0 };
    const recordAttempt = (stranded: StrandedTasks, requests: number): void => {
        attempts.set(stranded.stage.record, {
            lastAt: performance.now(),
            requests: attemptsOf(stranded).requests + requests,
        });
    };
    /** Whether a transfer row of the workflow, with any of its tasks, fits into a row of the store. */
    const fitsIntoRow = ({ workflow }: WorkflowLedger): boolean => {
        const tasks = workflow.steps.reduce((sum, { count }) => sum + count, 0);
        return Buffer.byteLength(JSON.stringify(workflow)) + (tasks + 1) * bytesPerTask <= store.limits.valueBytes;
    };
    /** The cells to ask in this review: first those with the most free CPU, then the others in turn. */
    const selectCells = (stranded: StrandedTasks): readonly CellId[] => {
        const cells = otherCells.withFreeCpu(stranded.stage.step.cpu);
        const start = cells.length === 0 ? 0 : attemptsOf(stranded).requests % cells.length;
        return [...cells.slice(start), ...cells.slice(0, start)].slice(0, maxAskedCells);
    };
    const transfer = ({ ledger, stage, since, movable, nameOf }: StrandedTasks, room: number, target: CellId): void => {
        const { occurrence, stepIndex } = stage;
        // Tasks may have started, or the workflow may have ended, while the other cell was asked.
        const indices = movable().slice(0, room);
        if (indices.length === 0 || signal.aborted) {
            return;
        }
        for (const index of indices) {
            const lastRun = runController.nextNumber(nameOf(index)) - 1;
            ledger.recordTransfer({ occurrence, step: stepIndex, index, lastRun }, target);
        }
        const waited = Math.round(performance.now() - since);
        if (stage.record.waiting.size === 0) {
            stage.record.noRoomSince = undefined;
        }
        const { id, queue } = ledger.workflow;
        metrics.transferredTasks.inc({ queue: queue.name }, indices.length);
        logger.info({ job: id, cell, step: stepIndex, indices, target, waited }, "tasks transferred to another cell");
        writer.request(ledger, () => {
            otherCells.notifyTransfer(target);
        });
    };
    const findRoom = async (stranded: StrandedTasks): Promise<void> => {
        const { ledger, stage: { step, stepIndex, record }, movable } = stranded;
        const { service } = queueOf(ledger);
        const now = performance.now();
        const isPreferred = record.waiting.size === step.count
            || movable().some(index => record.started.has(index))
            || now - (record.readySince ?? now) >= longWait;
        recordAttempt(stranded, 0);
        const targets = selectCells(stranded);
        // The length of the workflow is computed only if a cell would be asked.
        if (targets.length === 0 || !fitsIntoRow(stranded.ledger)) {
            return;
        }
        for (const target of targets) {
            const count = movable().length;
            if (count === 0 || signal.aborted) {
                return;
            }
            recordAttempt(stranded, 1);
            const request = { job: ledger.workflow.id, service, stepIndex, step, count, isPreferred };
            const room = await otherCells.roomIn(target, request);
            if (room > 0) {
                transfer(stranded, room, target);
            }
        }
    };
    const transferStranded = async (): Promise<void> => {
        // Steps for which no cell has room must not keep others from being asked for.
        const ordered = [...findStranded()].sort((left, right) => attemptsOf(left).lastAt - attemptsOf(right).lastAt);
        // In parallel, so that a holder that does not answer delays only the steps for which it was asked.
        await Promise.all(ordered.slice(0, maxStepsPerReview).map(findRoom));
    };
    const applyReturns: OutgoingTransfers["applyReturns"] = (ledger, other, row) => {
        const returned =
            decodeTransferRow(row, logger)?.tasks.filter(task => task.isReturned && ledger.isTransferred(task)) ?? [];
        const { id } = ledger.workflow;
        for (const task of returned) {
            runController.reserveNumbers(taskName({ job: id, ...task }), task.lastRun);
            ledger.recordReturn(task, other);
        }
        if (returned.length > 0) {
            logger.info({ job: id, cell, from: other, tasks: returned.length }, "transferred tasks taken back");
            writer.request(ledger);
        }
    };
    return {
        review: () => {
            if (!isUnderWay) {
                isUnderWay = true;
                void transferStranded().finally(() => {
                    isUnderWay = false;
                });
            }
        },
        applyReturns,
        readReturns: async (id, other) => {
            const { table, partition, key } = rowKeys.transfer(other, id);
            const read = await store.read(table, partition, key);
            const row = read.isOk ? read.value.rows[0] : undefined;
            const ledger = ledgerOf(id);
            if (row !== undefined && ledger !== undefined && writer.recordTransferRead(id, other, row.version)) {
                applyReturns(ledger, other, row);
            }
        },
    };
};
