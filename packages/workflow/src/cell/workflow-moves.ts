import type { CellId, JobId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import type { Logger } from "pino";

import type { TransferredTask } from "../ledger/transferred-task.js";
import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import { taskName } from "../model/task-name.js";
import type { StateStore } from "../port/state-store.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import { encodeProgress } from "./encode-progress.js";
import type { OtherCells } from "./other-cells.js";
import type { ProgressWriter } from "./progress-writer.js";
import { rowKeys } from "./row-keys.js";
import type { RunController } from "./run-controller.js";
import type { WaitingWorkflow } from "./waiting-workflows.js";

/** Moves workflows of short-lived tasks that wait without a run to cells that can run them. */
export interface WorkflowMoves {
    /** Starts to move workflows that have waited for long; those of earlier reviews may be still under way. */
    readonly review: () => void;
}

/** Options of {@link createWorkflowMoves}. */
export interface WorkflowMovesOptions {
    readonly cell: CellId;
    readonly store: StateStore;
    readonly otherCells: Pick<OtherCells, "withFreeCpu" | "placesIn">;
    readonly ledgers: ReadonlyMap<JobId, WorkflowLedger>;
    /** Those of the workflows that may move now. */
    readonly findWaiting: (ledgers: Iterable<WorkflowLedger>) => ReadonlyMap<JobId, WaitingWorkflow>;
    readonly runController: Pick<RunController, "nextNumber">;
    readonly writer: Pick<ProgressWriter, "request">;
    readonly logger: Logger;
    readonly metrics: Pick<WorkflowMetrics, "movedWorkflows">;
    /** Aborts when the cell is stopped or its lease is lost. */
    readonly signal: AbortSignal;
}

/** A workflow that has been waiting at each review since a time. */
interface Wait {
    /** Monotonic time in ms. */
    readonly since: number;
    /** Monotonic time in ms before which no other cell is asked again. */
    askAgainAt: number;
    /** Number of times that cells were asked. */
    attempts: number;
    /** Number of requests to cells so far. */
    requests: number;
    /** Monotonic time in ms at which it was last logged why the workflow stays. */
    loggedAt: number;
    /** Whether cells are being asked, or the move is being prepared. */
    isUnderWay: boolean;
}

/** A cell and the number of tasks that it offers to start. */
interface Offer {
    readonly target: CellId;
    readonly places: number;
}

/** Milliseconds without a run and without room after which a workflow may move; users expect a run within 3 s. */
const ownRoomWait = 800;
/** Milliseconds until cells that had no room for a workflow are asked for it again. */
const askInterval = 600;
/** Multiple of that time up to which it grows with each attempt. */
const longestIntervalFactor = 3;
/** Workflows for which other cells are asked in one review. */
const maxWorkflowsPerReview = 4;
/** Milliseconds for which a cell may take to answer; a busy holder that takes longer has no time for more work. */
const answerTime = 250;
/** Cells that are asked for one workflow in one review. */
const maxAskedCells = 2;
/** Minimum milliseconds between two log lines on why a workflow stays. */
const logInterval = 2_000;
/** Largest share of a transaction that the rows of a workflow may take, as they are written with those of others. */
const largestShare = 0.5;

/** Creates the moves of a cell. */
export const createWorkflowMoves = (options: WorkflowMovesOptions): WorkflowMoves => {
    const { cell, store, otherCells, ledgers, findWaiting, runController, writer, logger, metrics, signal } = options;
    let waits = new Map<JobId, Wait>();

    /** Last run numbers of the waiting tasks that may have run in this cell. */
    const lastRunsOf = ({ workflow: { id, steps }, isDone }: WorkflowLedger): readonly TransferredTask[] =>
        steps.flatMap(({ count }, step) =>
            [...Array(count).keys()].flatMap(index => {
                const position = { occurrence: 0, step, index };
                const lastRun = runController.nextNumber(taskName({ job: id, ...position })) - 1;
                return lastRun === 0 || isDone(position) ? [] : [{ ...position, lastRun }];
            })
        );
    const fitsIntoTransaction = ({ workflow, progress }: WorkflowLedger): boolean => {
        const { value } = encodeProgress(progress(), workflow.steps, store.limits.valueBytes);
        const bytes = Buffer.byteLength(JSON.stringify(workflow)) + Buffer.byteLength(value);
        return bytes <= store.limits.bytes * largestShare;
    };
    /** The version of the workflow's index row, if that names this cell. */
    const readIndexVersion = async (id: JobId): Promise<number | undefined> => {
        const { table, partition, key } = rowKeys.index(id);
        const read = await store.read(table, partition, key);
        const row = read.isOk ? read.value.rows[0] : undefined;
        return row?.value === cell ? row.version : undefined;
    };
    const move = async ({ ledger }: WaitingWorkflow, { target, places }: Offer, waited: number): Promise<void> => {
        const { id, queue } = ledger.workflow;
        const indexVersion = await readIndexVersion(id);
        // A task may have started, or the workflow may have ended, meanwhile.
        const isFree = !signal.aborted && ledgers.get(id) === ledger && findWaiting([ledger]).size > 0;
        if (indexVersion === undefined || !isFree) {
            logger.info(
                { job: id, cell, target, reason: isFree ? "its index row can't be read" : "it does not wait any more" },
                "waiting workflow does not move",
            );
            return;
        }
        ledger.recordMove({ cell: target, indexVersion, lastRuns: lastRunsOf(ledger) });
        metrics.movedWorkflows.inc({ queue: queue.name });
        logger.info({ job: id, cell, target, places, waited }, "workflow moves to another cell");
        writer.request(ledger);
    };
    /** Asks some cells, those with the most free CPU first and the others in turn; the best offer comes first. */
    const askCells = async ({ ledger, stage }: WaitingWorkflow, wait: Wait): Promise<readonly Offer[]> => {
        const { step, stepIndex, record } = stage;
        const request = { workflow: { ...ledger.workflow, payload: "" }, stepIndex, count: record.waiting.size };
        const cells = otherCells.withFreeCpu(step.cpu);
        const start = cells.length === 0 ? 0 : wait.requests % cells.length;
        const targets = [...cells.slice(start), ...cells.slice(0, start)].slice(0, maxAskedCells);
        wait.requests += targets.length;
        const offers = await Promise.all(
            targets.map(async target => ({
                target,
                places: await Promise.race([otherCells.placesIn(target, request), sleep(answerTime).then(() => 0)]),
            })),
        );
        return offers.sort((left, right) => right.places - left.places);
    };
    const moveIfPossible = async (waiting: WaitingWorkflow, wait: Wait): Promise<void> => {
        const waited = Math.round(performance.now() - wait.since);
        wait.attempts += 1;
        wait.askAgainAt = performance.now() + askInterval * Math.min(wait.attempts, longestIntervalFactor);
        const offers = await askCells(waiting, wait);
        const [best] = offers;
        if (best !== undefined && best.places > 0 && fitsIntoTransaction(waiting.ledger)) {
            await move(waiting, best, waited);
            return;
        }
        const asked = offers.map(({ target }) => target);
        const reason = best === undefined
            ? "no other cell is known to have free CPU"
            : best.places > 0
            ? "its rows are too large"
            : "the cells that were asked can start none of its tasks";
        if (performance.now() - wait.loggedAt >= logInterval) {
            wait.loggedAt = performance.now();
            const job = waiting.ledger.workflow.id;
            logger.info({ job, cell, asked, waited, reason }, "waiting workflow does not move");
        }
    };
    return {
        review: () => {
            const now = performance.now();
            const found = findWaiting(ledgers.values());
            waits = new Map([...found].map(([id, { since }]) => [
                id,
                waits.get(id)
                    ?? {
                        since,
                        askAgainAt: -Infinity,
                        attempts: 0,
                        requests: 0,
                        loggedAt: -Infinity,
                        isUnderWay: false,
                    },
            ]));
            const due = [...waits].filter(([, { since, askAgainAt, isUnderWay }]) =>
                !isUnderWay && now - since >= ownRoomWait && askAgainAt <= now
            ).sort(([, left], [, right]) => left.askAgainAt - right.askAgainAt || left.since - right.since);
            for (const [id, wait] of due.slice(0, maxWorkflowsPerReview)) {
                const waiting = found.get(id);
                if (waiting !== undefined) {
                    wait.isUnderWay = true;
                    void moveIfPossible(waiting, wait).finally(() => {
                        wait.isUnderWay = false;
                    });
                }
            }
        },
    };
};
