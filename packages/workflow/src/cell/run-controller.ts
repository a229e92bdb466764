import type { JobId, WorkerId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import type { Logger } from "pino";
import { match } from "ts-pattern";

import type { Stage, WorkflowLedger } from "../ledger/workflow-ledger.js";
import { parseTaskName } from "../model/parse-task-name.js";
import type { TaskName } from "../model/task-name.js";
import { taskName } from "../model/task-name.js";
import type { EndedRow, OrderError, RunningRow, WorkerReport } from "../port/worker-gateway.js";
import { createRun } from "./create-run.js";
import type { ProgressWriter } from "./progress-writer.js";
import type { RunEndQueue } from "./run-end-queue.js";
import { createRunEndQueue } from "./run-end-queue.js";
import { createRunNumbers } from "./run-numbers.js";
import type { RunRegistry } from "./run-registry.js";
import type { Run } from "./run.js";
import type { UnansweredStarts } from "./unanswered-starts.js";
import type { WorkerSession } from "./worker-session.js";

/** What happened to a run, for those that learn from it. */
export interface RunEnd {
    readonly run: Run;
    readonly outcome: EndedRow["outcome"] | "lost" | "not-started";
    readonly error?: OrderError["kind"];
}

/** Starts, stops and settles the runs of a cell. */
export interface RunController {
    /** Orders a start; the run is in the book before this returns. */
    readonly start: (
        ledger: WorkflowLedger,
        stage: Stage,
        index: number,
        session: WorkerSession,
        number?: number,
    ) => void;
    /** Number for the next run of a task. */
    readonly nextNumber: (task: TaskName) => number;
    readonly stop: (run: Run, reason: string) => void;
    readonly stopWorkflow: (job: JobId, reason: string) => void;
    readonly applyReport: (session: WorkerSession, report: WorkerReport, sentAt: number, isFirst: boolean) => void;
    /** Nothing that ran on the worker goes on. */
    readonly dropWorkerRuns: (session: WorkerSession) => void;
}

/** Options of {@link createRunController}. */
export interface RunControllerOptions {
    readonly epoch: number;
    readonly unansweredStarts: UnansweredStarts;
    readonly runRegistry: RunRegistry;
    readonly writer: ProgressWriter;
    readonly logger: Logger;
    readonly ledgerOf: (job: JobId) => WorkflowLedger | undefined;
    readonly sessionOf: (worker: WorkerId) => WorkerSession | undefined;
    /** A run has come; its worker's account takes it in. */
    readonly onRunAdded: (run: Run) => void;
    /** A run has gone; its worker's account gives its room back. */
    readonly onRunRemoved: (end: RunEnd) => void;
    /** Something may be startable now. */
    readonly onChange: () => void;
    /** Approval that a start on the worker needs, where the queue takes advice. */
    readonly ticketOf: (run: Run) => string | undefined;
}

/** Why a run is stopped whose start was not answered. */
const unansweredStart = "start without answer";
/** Milliseconds between attempts to settle a start without answer. */
const settleInterval = 300;

/** Creates the keeper of an empty book. */
export const createRunController = (options: RunControllerOptions): RunController => {
    const {
        epoch,
        unansweredStarts,
        runRegistry,
        writer,
        logger,
        ledgerOf,
        sessionOf,
        onRunAdded,
        onRunRemoved,
        onChange,
        ticketOf,
    } = options;
    const numbers = createRunNumbers(epoch);
    const endQueues = new Map<WorkerId, { readonly bornAt: number; readonly queue: RunEndQueue; }>();

    const endQueueOf = (session: WorkerSession, bornAt: number): RunEndQueue => {
        const known = endQueues.get(session.id);
        if (known?.bornAt === bornAt) {
            return known.queue;
        }
        const queue = createRunEndQueue(number => {
            // A write of an earlier life's ends must not make the present life forget its own.
            if (endQueues.get(session.id)?.queue === queue) {
                session.recordEnds(number);
            }
        });
        endQueues.set(session.id, { bornAt, queue });
        return queue;
    };
    /** Takes a run out of the book; its task waits again unless it is done or runs elsewhere. */
    const removeRun = (end: RunEnd): void => {
        const { run } = end;
        runRegistry.remove(run);
        numbers.close(run.task, run.number);
        if (runRegistry.ofTask(run.task).length === 0) {
            run.ledger.noteIdle(run.position);
        }
        onRunRemoved(end);
        onChange();
    };
    const addRun = (run: Run): void => {
        runRegistry.add(run);
        numbers.markUsed(run.task, run.number);
        run.ledger.noteStart(run.position);
        onRunAdded(run);
    };
    /** Makes sure that a start without answer can't take place any more. */
    const settle = async (run: Run): Promise<void> => {
        run.phase = "unsettled";
        while (runRegistry.find(run.worker, run.task, run.number) === run && run.phase === "unsettled") {
            const session = sessionOf(run.worker);
            if (session === undefined || await session.stop(run.task, run.number)) {
                // The next look tells whether it had started; without a trace it never will.
                run.answeredAt = performance.now();
                run.phase = "stopping";
                run.stopReason ??= unansweredStart;
                return;
            }
            await sleep(settleInterval);
        }
    };
    const send = async (run: Run, session: WorkerSession): Promise<void> => {
        const { ledger, position, step } = run;
        const checkpoint = step.isCheckpointing ? run.checkpoint : "";
        const ticket = ticketOf(run);
        const result = await session.start({
            task: run.task,
            run: run.number,
            payload: ledger.workflow.payload,
            checkpoint,
            ...(ticket === undefined ? {} : { ticket }),
        });
        if (runRegistry.find(run.worker, run.task, run.number) !== run) {
            return;
        }
        run.answeredAt = performance.now();
        const details = { job: position.job, task: run.task, run: run.number, worker: run.worker };
        if (result.isOk) {
            if (run.phase === "starting") {
                run.phase = "running";
                run.startedAt = run.answeredAt;
                run.percentChangedAt = run.answeredAt;
            }
            else {
                // The stop may have reached an earlier life of the worker.
                void session.stop(run.task, run.number);
            }
            return;
        }
        const { kind, message } = result.error;
        logger.info({ ...details, error: kind, message }, "start not done");
        if (kind === "unknown") {
            if (run.reportedAt > run.orderedAt) {
                // Only the answer was lost: the worker lists the run.
                run.phase = run.phase === "starting" ? "running" : run.phase;
                return;
            }
            unansweredStarts.add(run);
            void settle(run);
            return;
        }
        removeRun({ run, outcome: "not-started", error: kind });
    };
    const start: RunController["start"] = (ledger, stage, index, session, number) => {
        const position = { job: ledger.workflow.id, occurrence: stage.occurrence, step: stage.number, index };
        const task = taskName(position);
        const run = createRun({
            task,
            position,
            number: number ?? numbers.next(task),
            worker: session.id,
            ledger,
            step: stage.step,
            checkpoint: stage.record.checkpoints.get(index) ?? "",
        });
        addRun(run);
        void send(run, session);
    };
    const stop = (run: Run, reason: string): void => {
        if (run.phase === "unsettled" || run.stopReason !== undefined) {
            return;
        }
        run.stopReason = reason;
        run.phase = "stopping";
        const { job } = run.position;
        logger.info({ job, task: run.task, run: run.number, worker: run.worker, reason }, "stop ordered");
        void sessionOf(run.worker)?.stop(run.task, run.number).then(wasAnswered => {
            if (wasAnswered) {
                run.answeredAt = performance.now();
            }
        });
    };
    /** Books a reported end in its ledger; the caller stores it. */
    const applyEnd = (ledger: WorkflowLedger, row: EndedRow, position: Run["position"]): void => {
        if (row.checkpoint !== "" && ledger.stage(position)?.step.isCheckpointing === true) {
            ledger.noteCheckpoint(position, row.checkpoint);
        }
        match(row.outcome)
            .with("done", () => {
                ledger.noteDone(position);
            })
            .with("failed", () => {
                ledger.noteFailure(position, row.run);
            })
            .with("stopped", "lapsed", "broken", "alone", () => undefined)
            .exhaustive();
    };
    const takeEnd = (session: WorkerSession, row: EndedRow): WorkflowLedger | undefined => {
        const position = parseTaskName(row.task);
        const ledger = position === undefined ? undefined : ledgerOf(position.job);
        const run = runRegistry.find(session.id, row.task, row.run);
        // A run that was waited out counts no more, unless it is done after all: that is true, and saves its work.
        const isClosed = numbers.isClosed(row.task, row.run) && run === undefined && row.outcome !== "done";
        if (position === undefined || ledger === undefined || isClosed) {
            return undefined;
        }
        const wasSettled = ledger.isSettled();
        if (!wasSettled && !ledger.isDone(position)) {
            applyEnd(ledger, row, position);
        }
        logger.info({
            job: position.job,
            task: row.task,
            run: row.run,
            worker: session.id,
            outcome: row.outcome,
            isKnown: run !== undefined,
            ranFor: run === undefined ? undefined : Math.round(performance.now() - run.startedAt),
            reason: run?.stopReason,
            state: ledger.outcome(),
        }, "run ended");
        numbers.close(row.task, row.run);
        if (run !== undefined) {
            removeRun({ run, outcome: row.outcome });
        }
        if (ledger.isDone(position)) {
            runRegistry.ofTask(row.task).forEach(other => {
                stop(other, "another copy is done");
            });
        }
        if (ledger.isSettled() && !wasSettled) {
            stopWorkflow(position.job, `the workflow is ${ledger.outcome()}`);
        }
        return ledger;
    };
    const takeEnds = (session: WorkerSession, report: WorkerReport): void => {
        const queue = endQueueOf(session, report.bornAt);
        const fresh = report.ended.filter(row => queue.isNew(row.number));
        if (fresh.length === 0) {
            return;
        }
        const changed = new Set<WorkflowLedger>();
        for (const row of fresh) {
            const ledger = takeEnd(session, row);
            if (ledger?.isDirty() === true) {
                changed.add(ledger);
            }
        }
        const onWritten = queue.add(Math.max(...fresh.map(row => row.number)), changed.size);
        changed.forEach(ledger => {
            writer.request(ledger, onWritten);
        });
    };
    const adopt = (session: WorkerSession, row: RunningRow): void => {
        const position = parseTaskName(row.task);
        const ledger = position === undefined ? undefined : ledgerOf(position.job);
        const stage = position === undefined ? undefined : ledger?.stage(position);
        const isWanted = position !== undefined
            && ledger !== undefined
            && stage !== undefined
            && !ledger.isSettled()
            && !ledger.isDone(position)
            && !numbers.isClosed(row.task, row.run)
            && (stage.step.isSpeculative || runRegistry.ofTask(row.task).length === 0);
        logger.info({ job: position?.job, task: row.task, run: row.run, worker: session.id, isWanted }, "run found");
        if (!isWanted) {
            void session.stop(row.task, row.run);
            return;
        }
        const run = createRun({
            task: row.task,
            position,
            number: row.run,
            worker: session.id,
            ledger,
            step: stage.step,
            checkpoint: row.checkpoint,
        });
        run.phase = "running";
        // The first report that does not list it tells of its end.
        run.answeredAt = -Infinity;
        run.percent = row.percent;
        run.measure = row.measure;
        addRun(run);
    };
    const updateRun = (run: Run, row: RunningRow, now: number): void => {
        if (row.percent !== run.percent) {
            run.percentChangedAt = now;
        }
        run.percent = row.percent;
        run.reportedAt = now;
        run.measure = row.measure;
        if (row.checkpoint !== "" && row.checkpoint !== run.checkpoint) {
            run.checkpoint = row.checkpoint;
            run.ledger.noteCheckpoint(run.position, row.checkpoint);
        }
    };
    const applyReport: RunController["applyReport"] = (session, report, sentAt, isFirst) => {
        const now = performance.now();
        takeEnds(session, report);
        const listed = new Set<Run>();
        for (const row of report.running) {
            const run = runRegistry.find(session.id, row.task, row.run);
            if (run !== undefined) {
                listed.add(run);
                unansweredStarts.markCarriedOut(run);
                updateRun(run, row, now);
            }
            else if (isFirst) {
                adopt(session, row);
                runRegistry.ofTask(row.task).forEach(adopted => listed.add(adopted));
            }
            else {
                void session.stop(row.task, row.run);
            }
        }
        for (const run of [...runRegistry.ofWorker(session.id)]) {
            const isTold = run.phase !== "unsettled" && run.answeredAt < sentAt;
            if (!listed.has(run) && isTold) {
                const { job } = run.position;
                const details = { job, task: run.task, run: run.number, worker: session.id, reason: run.stopReason };
                if (run.stopReason === unansweredStart) {
                    logger.info(details, "start settled: it did not take place and never will");
                }
                else {
                    logger.warn(details, "run without trace");
                }
                removeRun({ run, outcome: "lost" });
            }
        }
    };
    const dropWorkerRuns: RunController["dropWorkerRuns"] = session => {
        unansweredStarts.recordLapse(session.id);
        for (const run of [...runRegistry.ofWorker(session.id)]) {
            const { job } = run.position;
            logger.info({ job, task: run.task, run: run.number, worker: session.id }, "run lost with its lease");
            removeRun({ run, outcome: "lost" });
        }
    };
    const stopWorkflow = (job: JobId, reason: string): void => {
        runRegistry.ofWorkflow(job).forEach(run => {
            stop(run, reason);
        });
    };
    return { start, nextNumber: numbers.next, stop, stopWorkflow, applyReport, dropWorkerRuns };
};
