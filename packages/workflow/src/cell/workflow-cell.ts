import type { SizeEstimate, WorkerHealth } from "@jayfront/policy";
import { createSizeEstimate, createWorkerHealth } from "@jayfront/policy";
import type { CellId, JobId, WorkerId } from "@jayfront/world";
import { createStopSignal, createWakeUp, sleep } from "@jayfront/world";
import type { Logger } from "pino";

import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import { createWorkflowLedger } from "../ledger/workflow-ledger.js";
import type { Configuration } from "../model/configuration.js";
import type { Queue } from "../model/queue.js";
import type { TaskName } from "../model/task-name.js";
import type { WorkerEntry } from "../model/worker-entry.js";
import type { Workflow, WorkflowState } from "../model/workflow.js";
import { createPressureModel } from "../policy/pressure-model.js";
import type { StateStore } from "../port/state-store.js";
import type { WorkerDirectory } from "../port/worker-directory.js";
import type { WorkerGateway } from "../port/worker-gateway.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import { acceptWorkflow } from "./accept-workflow.js";
import type { CellLease } from "./cell-lease.js";
import { createCellLease } from "./cell-lease.js";
import type { CellSummary } from "./cell-summary.js";
import type { CellTiming } from "./cell-timing.js";
import { leaseLength } from "./cell-timing.js";
import type { CellWorkers } from "./cell-workers.js";
import { createCellWriter } from "./cell-writer.js";
import { loadCell } from "./load-cell.js";
import { createNeighbourWatch } from "./neighbour-watch.js";
import { createRoomAccount } from "./room-account.js";
import { createRunBook } from "./run-book.js";
import type { RunEnd } from "./run-keeper.js";
import { createRunKeeper } from "./run-keeper.js";
import { createRunWatch } from "./run-watch.js";
import type { Run } from "./run.js";
import { createStageScheduler } from "./stage-scheduler.js";
import { tables } from "./tables.js";
import type { CellRow } from "./take-cell.js";
import type { SessionEvents } from "./worker-session.js";
import { createWorkerSession } from "./worker-session.js";

/** What came of handing a workflow in. */
export type Submission = "accepted" | "unknown" | "refused";

/** A cell as its holder runs it. */
export interface WorkflowCell {
    readonly cell: CellId;
    readonly epoch: number;
    /** Whether all that the predecessor left has been read. */
    readonly isActive: () => boolean;
    readonly isLost: () => boolean;
    readonly submit: (workflow: Workflow) => Promise<Submission>;
    /** State of a workflow; undefined where the cell does not know it. */
    readonly state: (id: JobId) => WorkflowState | undefined;
    /** Cancels a workflow; false where the cell does not know it. Resolves once the cancellation is stored. */
    readonly cancel: (id: JobId) => Promise<boolean>;
    readonly summary: () => CellSummary;
    /** Milliseconds since the lease was proved. */
    readonly provenAgo: () => number;
    readonly stop: () => void;
}

/** Options of {@link createWorkflowCell}. */
export interface WorkflowCellOptions {
    readonly cell: CellId;
    /** The row by which the cell was taken. */
    readonly row: CellRow;
    /** Steady ms at which the call that took the cell was sent. */
    readonly takenAt: number;
    readonly store: StateStore;
    readonly gateway: WorkerGateway;
    readonly directory: WorkerDirectory;
    readonly configuration: () => Configuration | undefined;
    /** Whether the worker belongs to this cell. */
    readonly isOwn: (worker: WorkerEntry) => boolean;
    readonly timing: CellTiming;
    readonly logger: Logger;
    readonly metrics: WorkflowMetrics;
    readonly onLost: (reason: string) => void;
    /** Called once all that the predecessor left has been read. */
    readonly onActive: () => void;
}

/** Milliseconds between proofs of the lease; a lease survives several failed ones. */
const renewalInterval = 1_000;
/** As `renewalInterval`, while the store does not answer: its return should be noticed at once. */
const troubledInterval = 200;
/** Milliseconds between reads of the list of workers; a fifth of the time in which a draining worker must be left. */
const directoryInterval = 500;
/** Milliseconds in which news gather before the next placement pass. */
const passGatherTime = 15;
/** Milliseconds after which a pass runs without news, for work that becomes due. */
const passInterval = 200;
/** Milliseconds between reviews of all runs. */
const watchInterval = 250;
/** Milliseconds before a failed read of the predecessor's rows is tried again. */
const loadRetry = 200;
/** Milliseconds of the first quarantine of a worker that fails what it runs; a few run times. */
const quarantine = 2_000;
/** Milliseconds of the longest quarantine; workers recover within some ten seconds or are replaced. */
const quarantineLimit = 8_000;
/** Milliseconds of work after which the failure of a lasting task does not tell against its worker. */
const earlyFailure = 1_500;
/** Milliseconds for which orders without answer count as possibly late once one of them was seen to be. */
const lateOrderMemory = 60_000;
/** Starts a worker may get before it has shown successes; placement bounds them by room. */
const startLimit = 1_000;

/** Runs a cell that was just taken. */
export const createWorkflowCell = (options: WorkflowCellOptions): WorkflowCell => {
    const { cell, row, store, gateway, directory, configuration, isOwn, timing, logger, metrics, onLost, onActive } =
        options;
    const epoch = row.holder?.epoch ?? 0;
    const stop = createStopSignal();
    const { signal } = stop;
    const ledgers = new Map<JobId, WorkflowLedger>();
    const settledAt = new Map<JobId, number>();
    /** Workflows of earlier holders, whose tasks may still run on a worker that has not answered. */
    const inherited = new Set<JobId>();
    const workers: CellWorkers = new Map();
    const book = createRunBook();
    const passWanted = createWakeUp();
    const runTimes: SizeEstimate = createSizeEstimate({ quantile: 0.5 });
    const health: WorkerHealth = createWorkerHealth({ failureLimit: 3, quarantine, quarantineLimit, startLimit });
    const pressure = createPressureModel();
    const failedOn = new Map<TaskName, Set<WorkerId>>();
    const rosterIds = new Set<WorkerId>();
    let rosterVersion = 0;
    let isActive = false;
    let lateOrdersUntil = -Infinity;
    let accepted: JobId[] = [];
    /** Steady ms by which leases that earlier holders gave have run out. */
    const inheritedUntil = options.takenAt
        + leaseLength(timing) / (1 - timing.clockDrift) + timing.stopTime;

    const lease: CellLease = createCellLease({
        cell,
        epoch,
        row,
        store,
        logger,
        takenAt: options.takenAt,
        onSending: () => {
            const proven = [...workers.values()].map(worker => worker.session.noteProofSent());
            return () => {
                proven.forEach(note => {
                    note();
                });
            };
        },
        onLost: reason => {
            stop.abort();
            onLost(reason);
        },
    });
    const writer = createCellWriter({
        cell,
        lease,
        store,
        logger,
        onWritten: written => {
            for (const ledger of written) {
                if (ledger.isSettled() && !settledAt.has(ledger.workflow.id)) {
                    settledAt.set(ledger.workflow.id, performance.now());
                    pressure.forgetJob(ledger.workflow.id);
                    metrics.workflowSeconds.observe(
                        { queue: ledger.workflow.queue.name, state: ledger.state() },
                        Math.max(0, Date.now() - ledger.workflow.acceptedAt) / 1_000,
                    );
                }
            }
            passWanted.notify();
        },
    });
    const queueOf = (ledger: WorkflowLedger): Queue =>
        configuration()?.queues.find(queue => queue.name === ledger.workflow.queue.name) ?? ledger.workflow.queue;
    const learn = ({ run, outcome, error }: RunEnd): void => {
        const { step, position, worker, ledger } = run;
        metrics.runEnds.inc({ queue: ledger.workflow.queue.name, outcome: error ?? outcome });
        // Tasks that last never end well, so that only an early failure says something of their worker.
        const isEarly = performance.now() - run.startedAt < earlyFailure;
        if (outcome === "failed" && (!step.isLasting || isEarly)) {
            const tried = failedOn.get(run.task) ?? new Set();
            failedOn.set(run.task, tried.add(worker));
            health.recordEnd(worker, position.job, true);
        }
        if (outcome === "done") {
            failedOn.delete(run.task);
            health.recordEnd(worker, position.job, false);
            const queue = queueOf(ledger);
            const kind = `${queue.name}/${String(position.step)}/${String(step.isGang)}`;
            if (step.expectedRunTime > 0 && run.checkpoint === "") {
                runTimes.record(kind, queue.name, (performance.now() - run.startedAt) / step.expectedRunTime);
            }
        }
    };
    const keeper = createRunKeeper({
        epoch,
        book,
        writer,
        logger,
        ledgerOf: id => ledgers.get(id),
        sessionOf: id => workers.get(id)?.session,
        onAdded: run => {
            workers.get(run.worker)?.room.add(run.step);
        },
        onRemoved: end => {
            workers.get(end.run.worker)?.room.remove(end.run.step);
            learn(end);
        },
        onChange: passWanted.notify,
        ticketOf: () => undefined,
    });
    const hasUnknownWorkers = (): boolean =>
        [...workers.values()].some(({ session }) => rosterIds.has(session.id) && session.contact() === "unknown");
    const neighbours = createNeighbourWatch({
        model: pressure,
        throttle: (run: Run, percent: number) => {
            metrics.throttles.inc({ direction: percent < run.pace ? "down" : "up" });
            run.pace = percent;
            void workers.get(run.worker)?.session.throttle(run.task, run.number, percent);
        },
        logger,
    });
    const scheduler = createStageScheduler({
        ledgers: () => ledgers.values(),
        workers,
        book,
        keeper,
        runTimes,
        health,
        logger,
        queueOf,
        isHeldBack: ledger => inherited.has(ledger.workflow.id) && hasUnknownWorkers(),
        neighbours,
        hasFailedOn: (task, worker) => failedOn.get(task)?.has(worker.session.id) === true,
    });
    const watch = createRunWatch({
        book,
        keeper,
        workers,
        health,
        runTime: scheduler.runTime,
        queueOf: run => queueOf(run.ledger),
    });
    const events: SessionEvents = {
        onReport: (session, report, sentAt, isFirst) => {
            keeper.takeReport(session, report, sentAt, isFirst);
            const worker = workers.get(session.id);
            if (worker !== undefined) {
                neighbours.review(worker, [...book.ofWorker(session.id)]);
            }
        },
        onCleared: (session, reason) => {
            keeper.clearWorker(session, reason);
            health.forget(session.id);
        },
        onFenced: () => {
            void lease.renew();
        },
        onContact: () => {
            passWanted.notify();
        },
        onLateOrder: session => {
            if (performance.now() >= lateOrdersUntil) {
                logger.info({ cell, worker: session.id }, "orders without answer may be carried out late");
            }
            lateOrdersUntil = performance.now() + lateOrderMemory;
        },
    };
    const addWorker = (entry: WorkerEntry): void => {
        const isNew = !rosterIds.has(entry.id);
        const sessionStop = createStopSignal(signal);
        const session = createWorkerSession({
            entry,
            epoch,
            gateway,
            timing,
            logger,
            events,
            isBusy: () => book.ofWorker(entry.id).size > 0,
            isWatched: () => neighbours.isNeeded([...book.ofWorker(entry.id)]),
            hasLateOrders: () => performance.now() < lateOrdersUntil,
            // A worker that no roster names can't have been given anything.
            inheritedUntil: isNew ? 0 : inheritedUntil,
        });
        workers.set(entry.id, {
            session,
            room: createRoomAccount(entry.capacity),
            isOnRoster: !isNew,
            unlistedSince: undefined,
            drainsSince: undefined,
            stop: sessionStop.abort,
        });
        void session.run(sessionStop.signal);
    };
    const takeDirectory = (entries: readonly WorkerEntry[]): void => {
        const listed = new Map(entries.filter(isOwn).map(entry => [entry.id, entry]));
        for (const entry of listed.values()) {
            const known = workers.get(entry.id);
            if (known === undefined) {
                addWorker(entry);
            }
            known?.room.setCapacity(entry.capacity);
        }
        for (const [id, worker] of workers) {
            const entry = listed.get(id);
            const isGone = entry === undefined && worker.session.contact() === "lapsed"
                && book.ofWorker(id).size === 0;
            if (isGone) {
                logger.info({ cell, worker: id }, "worker gone");
                worker.stop();
                workers.delete(id);
                continue;
            }
            worker.session.setEntry(entry);
            worker.unlistedSince = entry === undefined ? worker.unlistedSince ?? performance.now() : undefined;
            if (entry?.isDraining === true && worker.drainsSince === undefined) {
                worker.drainsSince = performance.now();
                logger.info({ cell, worker: id, remaining: entry.remaining }, "worker drains");
            }
        }
        passWanted.notify();
    };
    const writeRoster = async (): Promise<void> => {
        const wanted = [...workers.values()].filter(worker =>
            worker.unlistedSince === undefined || book.ofWorker(worker.session.id).size > 0
            || worker.session.contact() !== "lapsed"
        );
        const isSame = wanted.every(worker => rosterIds.has(worker.session.id)) && wanted.length === rosterIds.size;
        if (isSame) {
            return;
        }
        const key = tables.roster(cell);
        const proven = lease.noteSent();
        const written = await store.commit({
            checks: [lease.check, { ...key, version: rosterVersion }],
            writes: [{ ...key, value: JSON.stringify(wanted.map(worker => worker.session.entry())) }],
        });
        if (written.isErr) {
            if (written.error.kind === "conflict") {
                const current = written.error.rows.find(found => found.key === key.key);
                rosterVersion = current?.version ?? 0;
                await lease.renew();
            }
            return;
        }
        proven();
        rosterVersion = written.value;
        rosterIds.clear();
        for (const worker of wanted) {
            rosterIds.add(worker.session.id);
            worker.isOnRoster = true;
        }
        for (const [id, worker] of workers) {
            if (!rosterIds.has(id)) {
                worker.isOnRoster = false;
            }
        }
        logger.info({ cell, epoch, workers: rosterIds.size }, "roster written");
        passWanted.notify();
    };
    const runDirectory = async (): Promise<void> => {
        while (!signal.aborted) {
            const read = await directory.read();
            if (read.isOk && !signal.aborted) {
                takeDirectory(read.value);
                await writeRoster();
            }
            await sleep(directoryInterval, signal);
        }
    };
    const runRenewals = async (): Promise<void> => {
        while (!signal.aborted) {
            const isRecent = performance.now() - lease.provenAt() < renewalInterval / 2;
            if (!isRecent) {
                await lease.renew();
            }
            void Promise.all([...workers.values()].map(worker => worker.session.extend()));
            await sleep(lease.isTroubled() ? troubledInterval : renewalInterval / 2, signal);
        }
    };
    const runPasses = async (): Promise<void> => {
        let watchedAt = performance.now();
        while (!signal.aborted) {
            await passWanted.wait(passInterval, signal);
            await sleep(passGatherTime, signal);
            if (!signal.aborted) {
                scheduler.pass();
            }
            if (performance.now() - watchedAt >= watchInterval) {
                watchedAt = performance.now();
                watch.review();
            }
        }
    };
    const dropOldWorkflows = (): void => {
        const oldest = performance.now() - timing.retention;
        for (const [id, at] of settledAt) {
            if (at < oldest) {
                settledAt.delete(id);
                ledgers.delete(id);
                writer.forget(id);
            }
        }
    };
    const load = async (): Promise<boolean> => {
        const loaded = await loadCell(store, cell);
        if (loaded.isErr) {
            logger.warn({ cell, epoch, error: loaded.error.kind, message: loaded.error.message }, "cell not loaded");
            return false;
        }
        for (const { ledger, progressVersion } of loaded.value.ledgers) {
            ledgers.set(ledger.workflow.id, ledger);
            inherited.add(ledger.workflow.id);
            writer.noteVersion(ledger.workflow.id, progressVersion);
        }
        rosterVersion = loaded.value.rosterVersion;
        loaded.value.roster.forEach(entry => {
            rosterIds.add(entry.id);
        });
        loaded.value.roster.forEach(addWorker);
        isActive = true;
        logger.info({
            cell,
            epoch,
            workflows: ledgers.size,
            workers: workers.size,
            took: Math.round(performance.now() - options.takenAt),
        }, "cell loaded");
        onActive();
        return true;
    };
    const run = async (): Promise<void> => {
        while (!signal.aborted && !await load()) {
            await sleep(loadRetry, signal);
        }
        void runDirectory();
        void runRenewals();
        void runPasses();
        while (!signal.aborted) {
            await sleep(timing.retention / 10, signal);
            dropOldWorkflows();
        }
    };
    void writer.run(signal);
    void run();

    const submit = async (workflow: Workflow): Promise<Submission> => {
        if (ledgers.has(workflow.id)) {
            return "accepted";
        }
        const outcome = await acceptWorkflow({ store, lease, workflow, logger });
        if (outcome.kind === "accepted" && !ledgers.has(workflow.id) && !lease.isLost()) {
            ledgers.set(workflow.id, createWorkflowLedger(outcome.workflow, outcome.progress));
            accepted.push(workflow.id);
            passWanted.notify();
        }
        return outcome.kind === "elsewhere" ? "accepted" : outcome.kind;
    };
    const backlogOf = (): number[] => {
        const backlog: number[] = [];
        for (const ledger of ledgers.values()) {
            if (ledger.isSettled()) {
                continue;
            }
            const queue = queueOf(ledger);
            const work = ledger.workflow.steps.reduce(
                (sum, step, number) =>
                    sum + (step.isLasting ? 0 : step.count * step.cpu * scheduler.runTime(queue, step, number)),
                0,
            );
            backlog[queue.priority] = (backlog[queue.priority] ?? 0) + work;
        }
        return Array.from(backlog, (value: number | undefined) => Math.round(value ?? 0));
    };
    return {
        cell,
        epoch,
        isActive: () => isActive,
        isLost: lease.isLost,
        submit,
        provenAgo: () => performance.now() - lease.provenAt(),
        state: id => ledgers.get(id)?.state(),
        cancel: async id => {
            const ledger = ledgers.get(id);
            if (ledger === undefined) {
                return false;
            }
            if (!ledger.isSettled()) {
                ledger.noteCancelled();
                keeper.stopWorkflow(id, "the workflow was cancelled");
                logger.info({ job: id, cell, epoch }, "workflow cancelled");
            }
            if (ledger.isDirty()) {
                await new Promise<void>(resolve => {
                    writer.request(ledger, resolve);
                    signal.addEventListener("abort", () => {
                        resolve();
                    }, { once: true });
                });
            }
            return !ledger.isDirty();
        },
        summary: () => {
            const pending: Record<string, number> = {};
            for (const ledger of ledgers.values()) {
                if (ledger.state() === "queued") {
                    const { name } = ledger.workflow.queue;
                    pending[name] = (pending[name] ?? 0) + 1;
                }
            }
            const usable = [...workers.values()].filter(worker =>
                worker.session.contact() === "known" && !worker.session.entry().isDraining
            );
            const told = accepted;
            accepted = [];
            return {
                cell,
                epoch,
                isActive,
                provenAgo: performance.now() - lease.provenAt(),
                pending,
                racks: [...new Set(usable.map(worker => worker.session.entry().rack))],
                capacityCpu: usable.reduce((sum, worker) => sum + worker.room.capacity().cpu, 0),
                usedCpu: usable.reduce((sum, worker) => sum + worker.room.capacity().cpu - worker.room.spareCpu(), 0),
                backlog: backlogOf(),
                accepted: told,
            };
        },
        stop: () => {
            stop.abort();
        },
    };
};
