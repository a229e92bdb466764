import type { CellId, FailureDomainId, JobId, WorkerId } from "@jayfront/world";
import { createStopSignal, createWakeUp, sleep } from "@jayfront/world";
import type { Logger } from "pino";

import { createEvacuationMonitor } from "../evacuation/evacuation-monitor.js";
import type { Evacuations } from "../evacuation/evacuation-watch.js";
import type { TaskPosition } from "../ledger/task-position.js";
import type { LedgerLimits, WorkflowLedger } from "../ledger/workflow-ledger.js";
import { createWorkflowLedger } from "../ledger/workflow-ledger.js";
import type { Configuration } from "../model/configuration.js";
import { parseTaskName } from "../model/parse-task-name.js";
import type { Queue } from "../model/queue.js";
import type { TaskName } from "../model/task-name.js";
import { taskName } from "../model/task-name.js";
import type { WorkerEntry } from "../model/worker-entry.js";
import type { Workflow } from "../model/workflow.js";
import { createDomainRamp } from "../policy/domain-ramp.js";
import { createInterferenceModel } from "../policy/interference-model.js";
import { createPlacementReserve, reservedStarts } from "../policy/placement-reserve.js";
import { createWorkerSpeeds } from "../policy/worker-speeds.js";
import type { MemoryAllowance } from "../port/memory-allowance.js";
import type { StateStore } from "../port/state-store.js";
import type { WorkerDirectory } from "../port/worker-directory.js";
import type { WorkerGateway, WorkerReport } from "../port/worker-gateway.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import type { CellLease } from "./cell-lease.js";
import { createCellLease } from "./cell-lease.js";
import type { CellLoad } from "./cell-load.js";
import { createCellRoom } from "./cell-room.js";
import type { CellSummary } from "./cell-summary.js";
import type { CellTiming } from "./cell-timing.js";
import { leaseDuration } from "./cell-timing.js";
import type { CellWorkers } from "./cell-workers.js";
import { hasWaitingTasks } from "./has-waiting-tasks.js";
import { createIncomingTransfers } from "./incoming-transfers.js";
import { createInterferenceController } from "./interference-controller.js";
import { createLateOrderDetector } from "./late-order-detector.js";
import { loadCell } from "./load-cell.js";
import { createLongRunningAbsences } from "./long-running-absences.js";
import { createNearWaits } from "./near-waits.js";
import type { OtherCells } from "./other-cells.js";
import { createOutgoingTransfers } from "./outgoing-transfers.js";
import { createPassMonitor } from "./pass-monitor.js";
import { createPlacementLag } from "./placement-lag.js";
import type { PollBudget } from "./poll-budget.js";
import { createProgressWriter } from "./progress-writer.js";
import { createQueueLookup } from "./queue-lookup.js";
import { recordPace } from "./record-pace.js";
import { createRecoveryMonitor } from "./recovery-monitor.js";
import { createReplacementPlaces } from "./replacement-places.js";
import { createRunController } from "./run-controller.js";
import { createRunRegistry } from "./run-registry.js";
import { createRunStatistics } from "./run-statistics.js";
import { createRunWatchdog } from "./run-watchdog.js";
import type { Run } from "./run.js";
import { createSettledSweep } from "./settled-sweep.js";
import { createSpeedLimits } from "./speed-limits.js";
import { createSpeedMonitor } from "./speed-monitor.js";
import { createSpeedObserver } from "./speed-observer.js";
import { createStageMemory } from "./stage-memory.js";
import { createStageScheduler } from "./stage-scheduler.js";
import type { LocatedTask, StoredAbsences } from "./stored-starts.js";
import type { StrandedTasks } from "./stranded-tasks.js";
import { findStrandedTasks } from "./stranded-tasks.js";
import { createSubmissionAdmission } from "./submission-admission.js";
import type { SubmissionReply } from "./submission-reply.js";
import { summarizeCell } from "./summarize-cell.js";
import type { HolderRow } from "./take-cell.js";
import { createTaskCrashes } from "./task-crashes.js";
import { createTransferOffers } from "./transfer-offers.js";
import type { TransferRoomRequest } from "./transfer-room.js";
import { createUnansweredStartWriter } from "./unanswered-start-writer.js";
import type { UnansweredStarts } from "./unanswered-starts.js";
import { createUnansweredStarts } from "./unanswered-starts.js";
import { createWorkerCrashes } from "./worker-crashes.js";
import { createWorkerRoster } from "./worker-roster.js";
import type { SessionEvents, WorkerSession } from "./worker-session.js";
import { createWorkflowIntake } from "./workflow-intake.js";
import { createWorkflowMemory } from "./workflow-memory.js";
import type { CancelReply, StateReply } from "./workflow-operations.js";
import { createWorkflowOperations } from "./workflow-operations.js";

/** A cell that this host holds: its workflows, its workers and the runs on them. */
export interface WorkflowCell {
    readonly cell: CellId;
    readonly epoch: number;
    /** Whether the workflows and the roster of earlier holders have been loaded. */
    readonly isActive: () => boolean;
    readonly isLost: () => boolean;
    /**
     * `mayDecline`: whether the cell may reply `full`, if it lacks room for the workflow's tasks that reserve CPU, or has
     * got more long-running work than `knownLongRunningCpu` (millicores), by which it was chosen.
     */
    readonly submit: (
        workflow: Workflow,
        mayDecline: boolean,
        knownLongRunningCpu?: number,
    ) => Promise<SubmissionReply>;
    /** State of a workflow; `not-known` only if the cell has no rows of it. */
    readonly state: (id: JobId) => Promise<StateReply>;
    /** Cancels a workflow; resolves once the cancellation is stored or the cell is lost. */
    readonly cancel: (id: JobId) => Promise<CancelReply>;
    /** The cell's load now; undefined before it has been loaded. */
    readonly load: () => CellLoad | undefined;
    /** Number of long-running tasks of another cell that this cell offers to run; 0 before it has been loaded. */
    readonly offerRoom: (request: TransferRoomRequest) => number;
    /** Reads the rows of the tasks that other cells have transferred to this one; to be called when they change. */
    readonly readTransfers: () => void;
    /** Takes back tasks of a workflow that the cell `from` has returned. */
    readonly readReturns: (id: JobId, from: CellId) => void;
    /** Fills the failure domain by degrees from now on; to be called when it is open again. */
    readonly recordDomainReopened: (domain: FailureDomainId) => void;
    /** Summary for the next heartbeat; each accepted workflow is listed in one summary only. */
    readonly summary: () => CellSummary;
    /** Milliseconds since the last call that proved the lease was sent. */
    readonly provenAgo: () => number;
    /** Tries to prove the lease over a new connection to the store; resolves to whether that succeeded at once. */
    readonly proveLease: () => Promise<boolean>;
    /** Ends this host's work on the cell; does not stop the tasks on its workers. */
    readonly stop: () => void;
}

/** Options of {@link createWorkflowCell}. */
export interface WorkflowCellOptions {
    readonly cell: CellId;
    /** The holder row that this host wrote when it took the cell. */
    readonly row: HolderRow;
    /** Monotonic time in ms at which the call that took the cell was sent. */
    readonly takenAt: number;
    readonly store: StateStore;
    readonly gateway: WorkerGateway;
    readonly directory: WorkerDirectory;
    readonly configuration: () => Configuration | undefined;
    /** Whether the worker belongs to this cell. */
    readonly isOwn: (worker: WorkerEntry) => boolean;
    readonly timing: CellTiming;
    /** See `NearWaitsOptions.farRunFactor`. */
    readonly farRunFactor: number;
    readonly logger: Logger;
    readonly metrics: WorkflowMetrics;
    /** Processor cores of this host; may be a fraction. */
    readonly processors: number;
    /** See `ProcessDelay.recent`. */
    readonly processDelay: () => number;
    /** Shared by all cells of the host. */
    readonly pollBudget: PollBudget;
    /** Memory of the workflows that wait for the store; shared by all cells of the host. Default: unbounded. */
    readonly waitingMemory?: MemoryAllowance | undefined;
    /** Memory of the workflows of all cells of the host. Default: unbounded. */
    readonly workflowMemory?: MemoryAllowance | undefined;
    readonly onLost: (reason: string) => void;
    readonly otherCells: OtherCells;
    readonly evacuations: Evacuations;
    /** Whether another host receives heartbeats of a holder of the cell with a later epoch. */
    readonly hasSuccessor: (epoch: number) => Promise<boolean>;
    /** Called once the workflows and the roster of earlier holders have been loaded. */
    readonly onActive: () => void;
    /** Called once most workers have answered, so that the cell's summary shows its capacity. */
    readonly onCapacityKnown: () => void;
}

/** Milliseconds between proofs of the lease; short enough that a lease survives several failed attempts. */
const renewalInterval = 1_000;
/** Milliseconds between attempts to prove the lease while the store fails, to notice its recovery early. */
const failingStoreInterval = 200;
/** Milliseconds within which a store that answers other hosts answers a read over a new connection. */
const freshReadTimeout = 400;
/** Milliseconds for which changes are collected before a placement pass. */
const passBatchDelay = 15;
/** Milliseconds without a run, while most of the room is free, from which a workflow shows that too much is accepted. */
const longestStarvation = 4_000;
/** Milliseconds after which a placement pass ends and the next one goes on, so that heartbeats are sent in between. */
const passTime = 30;
/** Multiple of a pass's duration for which other work comes first, so that passes take at most a third of the time. */
const passPauseFactor = 2;
/** Milliseconds after which a placement pass runs even without a change, for work that becomes due with time. */
const passInterval = 200;
/** Milliseconds between reviews of all runs. */
const reviewInterval = 250;
/** Share of the workers whose answers show the cell's capacity; some may be down for long. */
const answeringShare = 0.9;
/** Milliseconds before a failed load of the cell's rows is retried. */
const loadRetryDelay = 200;

/** Starts to run a cell that this host has just taken. */
export const createWorkflowCell = (options: WorkflowCellOptions): WorkflowCell => {
    const {
        cell,
        row,
        store,
        gateway,
        directory,
        configuration,
        isOwn,
        timing,
        logger,
        metrics,
        processDelay,
        onLost,
        onActive,
        otherCells,
        evacuations,
    } = options;
    const epoch = row.holder?.epoch ?? 0;
    const stop = createStopSignal();
    const { signal } = stop;
    const ledgers = new Map<JobId, WorkflowLedger>();
    const settledAt = new Map<JobId, number>();
    /** Workflows of earlier holders, held back while their tasks may run on a worker that has not answered yet. */
    const inheritedJobs = new Set<JobId>();
    /**
     * Inherited long-running tasks which run nowhere but on these workers: those that the stored row names, those of their
     * inherited unanswered starts, and those that have reported a run of them to this holder.
     */
    const recordedWorkers = new Map<JobId, Map<TaskName, Set<WorkerId>>>();
    /** Whether the stored row named all unanswered starts of earlier holders. */
    let areStartsKnown = true;
    const workers: CellWorkers = new Map();
    const runRegistry = createRunRegistry();
    const passWakeUp = createWakeUp();
    const placementLag = createPlacementLag();
    const placementReserve = createPlacementReserve(options.processors);
    const workflowMemory = createWorkflowMemory(options.workflowMemory, signal);
    const stageMemory = createStageMemory(options.workflowMemory, signal);
    const createLimits = (): LedgerLimits => ({
        stageMemory: stageMemory.createShare(),
        progressBytes: store.limits.valueBytes,
    });
    const interferenceModel = createInterferenceModel();
    const lateOrderDetector = createLateOrderDetector(() => {
        startWriter.request();
    });
    let isActive = false;
    let accepted: JobId[] = [];
    /** Monotonic time in ms by which all task leases of earlier holders have expired if no deadline arrives late. */
    const inheritedLeasesUntil = options.takenAt
        + leaseDuration(timing) / (1 - timing.clockDrift) + timing.stopTime;

    const recovery = createRecoveryMonitor({ cell, epoch, takenAt: options.takenAt, processDelay, logger });

    const lease: CellLease = createCellLease({
        cell,
        epoch,
        row,
        store,
        logger,
        processDelay,
        takenAt: options.takenAt,
        onSending: () => {
            const proofCallbacks = [...workers.values()].map(worker => worker.session.beginProof());
            return () => {
                proofCallbacks.forEach(callback => {
                    callback();
                });
            };
        },
        onLost: reason => {
            stop.abort();
            onLost(reason);
        },
    });
    const sweep = createSettledSweep({ lease, store, logger, retention: timing.retention });
    const writer = createProgressWriter({
        cell,
        lease,
        store,
        logger,
        onWritten: (written, version) => {
            for (const ledger of written) {
                if (ledger.isSettled() && !settledAt.has(ledger.workflow.id)) {
                    [...ledger.transfers().keys()].forEach(otherCells.notifyTransfer);
                    settledAt.set(ledger.workflow.id, performance.now());
                    sweep.add(ledger.workflow.id, Date.now(), version);
                    interferenceModel.forgetJob(ledger.workflow.id);
                    metrics.workflowSeconds.observe(
                        { queue: ledger.workflow.queue.name, state: ledger.state() },
                        Math.max(0, Date.now() - ledger.workflow.acceptedAt) / 1_000,
                    );
                }
            }
            passWakeUp.notify();
        },
        onTransferChanged: (ledger, other, row) => {
            outgoingTransfers.applyReturns(ledger, other, row);
        },
    });
    const findQueue = createQueueLookup(configuration);
    const queueOf = (ledger: WorkflowLedger): Queue => findQueue(ledger.workflow.queue.name) ?? ledger.workflow.queue;
    const speeds = createWorkerSpeeds();
    const domainRamp = createDomainRamp();
    const { recordEnd, runTime, expectationOf, health, hasFailedOn, forgetWorkflow } = createRunStatistics({
        metrics,
        queueOf,
        factorOf: run => nearWaits.factorOf(run),
        speedOf: speeds.speedOf,
    });
    const nearWaits = createNearWaits({ workers, runTime, farRunFactor: options.farRunFactor, metrics, logger });
    const speedMonitor = createSpeedMonitor({ cell, epoch, speeds, metrics, logger, signal });
    const speedObserver = createSpeedObserver({
        runRegistry,
        speeds,
        expectationOf,
        rackOf: id => workers.get(id)?.session.entry().rack,
    });
    const unansweredStarts = createUnansweredStarts({
        lateOrderTime: timing.lateOrderTime,
        lateOrderDetector,
        onChange: () => {
            startWriter.request();
        },
    });
    const isHeldBack = (ledger: WorkflowLedger): boolean => inheritedJobs.has(ledger.workflow.id);
    const mayHaveUnknownRuns = (id: WorkerId): boolean => workers.get(id)?.session.mayHaveUnknownRuns() === true;
    /** Workers on which earlier holders may have left a run of the task; undefined if it may be any. */
    const inheritedWorkers = (ledger: WorkflowLedger, task: TaskName): readonly WorkerId[] | undefined => {
        const recorded = recordedWorkers.get(ledger.workflow.id)?.get(task);
        return isHeldBack(ledger) ? recorded && [...recorded].filter(mayHaveUnknownRuns) : [];
    };
    /** The long-running tasks that wait to run again or run on workers that don't answer. */
    const findAbsences = (): Pick<StoredAbsences, "absentTasks" | "locatedTasks"> => {
        const absentTasks: TaskName[] = [];
        const locatedTasks: LocatedTask[] = [];
        const add = (ledger: WorkflowLedger, position: TaskPosition, worker?: WorkerId): void => {
            const task = taskName({ job: ledger.workflow.id, ...position });
            const inherited = ledger.stage(position)?.step.isSpeculative === true
                ? undefined
                : inheritedWorkers(ledger, task);
            if (inherited !== undefined) {
                locatedTasks.push({
                    task,
                    workers: worker === undefined ? inherited : [...new Set([...inherited, worker])],
                });
            }
            else if (worker === undefined) {
                absentTasks.push(task);
            }
        };
        for (const ledger of [...ledgers.values(), ...incomingTransfers.ledgers.values()]) {
            ledger.absentTasks().forEach(position => {
                add(ledger, position);
            });
        }
        for (const { session } of workers.values()) {
            const runs = session.contact() === "silent" ? [...runRegistry.ofWorker(session.id)] : [];
            for (const { ledger, position, step, task } of runs) {
                if (step.isLasting && !ledger.isSettled() && runRegistry.ofTask(task).length === 1) {
                    add(ledger, position, session.id);
                }
            }
        }
        return { absentTasks, locatedTasks };
    };
    const startWriter = createUnansweredStartWriter({
        cell,
        lease,
        store,
        logger,
        snapshot: () => ({
            ...unansweredStarts.snapshot(),
            lateSignAge: lateOrderDetector.signAge(),
            hasAllStarts: areStartsKnown || inheritedJobs.size === 0,
            ...findAbsences(),
            epoch,
        }),
    });
    const workerCrashes = createWorkerCrashes(runRegistry);
    const taskCrashes = createTaskCrashes({
        isOwn: ledger => ledgers.get(ledger.workflow.id) === ledger,
        writer,
        stopWorkflow: (job, reason) => {
            runController.stopWorkflow(job, reason);
        },
        logger,
    });
    const constraintOf: UnansweredStarts["constraintOf"] = task =>
        taskCrashes.isGivenUp(task) ? "nowhere" : unansweredStarts.constraintOf(task);
    const absences = createLongRunningAbsences({ metrics });
    const ledgerOf = (id: JobId): WorkflowLedger | undefined => ledgers.get(id) ?? incomingTransfers.ledgers.get(id);
    const runController = createRunController({
        epoch,
        unansweredStarts,
        runRegistry,
        writer,
        processors: options.processors,
        processDelay,
        logger,
        ledgerOf,
        sessionOf: id => workers.get(id)?.session,
        onRunAdded: run => {
            workers.get(run.worker)?.resources.add(run.step);
            absences.recordStart(run);
            recovery.record("firstStart");
        },
        onRunConfirmed: absences.recordConfirmation,
        onRunRemoved: end => {
            workers.get(end.run.worker)?.resources.remove(end.run.step);
            recordEnd(end);
            nearWaits.recordEnd(end);
            absences.recordEnd(end.run);
        },
        onCrash: taskCrashes.record,
        workerCrashes,
        onChange: passWakeUp.notify,
        ticketOf: () => undefined,
        signal,
        isOnRecord: task => unansweredStarts.hasAny(task) || startWriter.mayName(task),
        storeStarts: () => startWriter.store(signal),
    });
    const recordWorkers = (task: TaskName, ids: readonly WorkerId[]): void => {
        const job = parseTaskName(task)?.job;
        if (job !== undefined) {
            const tasks = recordedWorkers.get(job) ?? new Map<TaskName, Set<WorkerId>>();
            recordedWorkers.set(job, tasks.set(task, new Set([...tasks.get(task) ?? [], ...ids])));
        }
    };
    const accountedTasks = (ledger: WorkflowLedger): ReadonlySet<TaskName> => {
        const tasks = [...recordedWorkers.get(ledger.workflow.id) ?? []].filter(([, on]) =>
            ![...on].some(mayHaveUnknownRuns)
        );
        return new Set(tasks.map(([task]) => task));
    };
    const findStranded = (from: ReadonlyMap<JobId, WorkflowLedger>): readonly StrandedTasks[] =>
        findStrandedTasks({
            ledgers: from.values(),
            runRegistry,
            isHeldBack,
            constraintOf,
        });
    const incomingTransfers = createIncomingTransfers({
        lease,
        store,
        otherCells,
        findStranded: () => findStranded(incomingTransfers.ledgers),
        runController,
        logger,
        onArrival: job => {
            transferOffers.recordArrival(job);
            passWakeUp.notify();
        },
    });
    const outgoingTransfers = createOutgoingTransfers({
        cell,
        store,
        otherCells,
        findStranded: () => findStranded(ledgers),
        ledgerOf: id => ledgers.get(id),
        runController,
        writer,
        logger,
        metrics,
        queueOf,
        signal,
    });
    const interferenceController = createInterferenceController({
        model: interferenceModel,
        throttle: (run: Run, percent: number) => {
            metrics.paceChanges.inc({ direction: percent < (run.pace ?? 0) ? "down" : "up" });
            recordPace(run, percent);
            void workers.get(run.worker)?.session.throttle(run.task, run.number, percent).then(wasAnswered => {
                if (!wasAnswered && run.pace === percent) {
                    run.pace = undefined;
                }
            });
        },
        logger,
    });
    const replacementPlaces = createReplacementPlaces();
    const scheduler = createStageScheduler({
        ledgers: () => [...ledgers.values(), ...incomingTransfers.ledgers.values()],
        workers,
        runRegistry,
        runController,
        runTime,
        health,
        logger,
        queueOf,
        isHeldBack,
        accountedTasks,
        interference: interferenceController,
        nearWaits,
        replacementPlaces,
        workerCrashes,
        speedLimits: createSpeedLimits({ speeds, runRegistry, runTime }),
        domainRamp,
        constraintOf,
        hasFailedOn: (task, worker) => hasFailedOn(task, worker.session.id),
        passTime,
        otherCellsRoom: otherCells.cpuRoom,
    });
    const runWatchdog = createRunWatchdog({
        runRegistry,
        runController,
        workers,
        health,
        runTime,
        queueOf: run => queueOf(run.ledger),
        replacementPlaces,
        keepPlaceElsewhere: scheduler.keepPlaceElsewhere,
        holdsReservedRoom: scheduler.holdsReservedRoom,
    });
    /** Records the runs that were adopted from a first report: a task has no other run, except unanswered starts. */
    const recordAdoptedRuns = (session: WorkerSession, report: WorkerReport): void => {
        for (const { task, run: number } of report.running) {
            const run = runRegistry.find(session.id, task, number);
            if (areStartsKnown && run?.step.isLasting === true && !run.step.isSpeculative && isHeldBack(run.ledger)) {
                recordWorkers(task, [session.id]);
            }
        }
    };
    const events: SessionEvents = {
        onReport: (session, report, sentAt, isFirst) => {
            speedObserver.observe(session.id, report);
            runController.applyReport(session, report, sentAt, isFirst);
            if (isFirst) {
                recordAdoptedRuns(session, report);
            }
            const worker = workers.get(session.id);
            if (worker !== undefined) {
                interferenceController.review(worker, [...runRegistry.ofWorker(session.id)]);
            }
        },
        onRestarted: (session, age) => {
            unansweredStarts.recordRestart(session, age);
            runController.recordRestart(session);
            health.removeWorker(session.id);
            speedMonitor.forget(session.id);
        },
        onLapsed: (session, hasCrashed) => {
            runController.dropWorkerRuns(session, hasCrashed);
            health.removeWorker(session.id);
            speedMonitor.forget(session.id);
        },
        onFenced: (session, token) => {
            // The read follows the refusal: if it finds this holder, the higher token is not that of a later one.
            void lease.confirm().then(isHeld => {
                if (isHeld) {
                    session.recordFence(token);
                }
            });
        },
        onContactChange: session => {
            const isKnown = session.contact() === "known";
            for (const run of runRegistry.ofWorker(session.id)) {
                run.doubtedAt = isKnown && run.stopReason === undefined
                    ? undefined
                    : run.doubtedAt ?? performance.now();
            }
            passWakeUp.notify();
        },
    };
    const roster = createWorkerRoster({
        workers,
        lease,
        store,
        directory,
        gateway,
        timing,
        logger,
        runRegistry,
        events,
        signal,
        isOwn,
        mayInterfere: interferenceController.mayInterfere,
        lateOrderDetector,
        inheritedLeases: () => ({
            until: inheritedLeasesUntil,
            lateUntil: inheritedLeasesUntil
                + (lateOrderDetector.mayBeDelayed(options.takenAt) ? timing.lateOrderTime : 0),
        }),
        processDelay,
        pollBudget: options.pollBudget,
        evacuations,
        onChange: passWakeUp.notify,
    });
    const runRenewals = async (): Promise<void> => {
        while (!signal.aborted) {
            const isRecent = performance.now() - lease.provenAt() < renewalInterval / 2;
            if (!isRecent) {
                await lease.renew();
            }
            void Promise.all([...workers.values()].map(worker => worker.session.extendLease()));
            await sleep(lease.isStoreFailing() ? failingStoreInterval : renewalInterval / 2, signal);
        }
    };
    /** Releases the inherited workflows once each worker of the roster has reported its runs and ends, or has lapsed. */
    const releaseInherited = (): void => {
        if (!roster.hasUnknownRuns()) {
            inheritedJobs.forEach(id => ledgers.get(id)?.completeTakeover());
            inheritedJobs.clear();
            recovery.record("workersKnown");
        }
    };
    const isCapacityKnown = (): boolean => {
        const answering = [...workers.values()].filter(({ session }) => session.contact() === "known").length;
        return answering > 0 && answering >= workers.size * answeringShare;
    };
    let reviewedAbsentTasks = "";
    /** Has the absent tasks stored if they have changed; most of them run again before the next review. */
    const reviewAbsentTasks = (): void => {
        const tasks = JSON.stringify(findAbsences());
        if (tasks !== reviewedAbsentTasks) {
            reviewedAbsentTasks = tasks;
            startWriter.request();
        }
    };
    /** Records that the task has run under an earlier holder, which its workflow's rows don't tell. */
    const recordEarlierRun = (task: TaskName): void => {
        const position = parseTaskName(task);
        const ledger = position === undefined ? undefined : ledgerOf(position.job);
        if (position !== undefined && ledger !== undefined) {
            ledger.recordStart(position);
            ledger.markWaiting(position);
        }
    };
    const logOverdueAbsences = (): void => {
        for (const { lost, absentFor } of absences.takeOverdue()) {
            const { task, number: run, worker, position, ledger } = lost;
            logger.warn({
                cell,
                job: position.job,
                task,
                run,
                worker,
                absentFor: Math.round(absentFor),
                ...scheduler.explainWait(ledger, position),
            }, "long-running task without a run for too long");
        }
    };
    let wasBehind = false;
    const logLag = (): void => {
        const isBehind = placementLag.isBehind();
        if (isBehind !== wasBehind) {
            wasBehind = isBehind;
            const lateShare = Number(placementLag.lateShare().toFixed(2));
            const figures = { cell, epoch, lateShare, workflows: ledgers.size };
            logger.info(
                figures,
                isBehind ? "placement is behind; declining new workflows" : "placement keeps up again",
            );
        }
    };
    const runPasses = async (): Promise<void> => {
        let reviewedAt = performance.now();
        let hasReportedCapacity = false;
        let passDuration = 0;
        let hasFinishedRound = true;
        const passMonitor = createPassMonitor({ cell, epoch, metrics, logger });
        while (!signal.aborted) {
            if (hasFinishedRound) {
                placementLag.expectRound(passInterval);
                await passWakeUp.wait(passInterval, signal);
                placementLag.expectRound(0);
            }
            const delay = Math.max(passBatchDelay, passDuration * passPauseFactor);
            const dueAt = performance.now() + delay;
            await sleep(delay, signal);
            if (!signal.aborted) {
                const startedAt = performance.now();
                releaseInherited();
                hasFinishedRound = scheduler.runPass();
                recovery.record("firstPass");
                passDuration = performance.now() - startedAt;
                passMonitor.recordPass(startedAt - dueAt, passDuration, hasFinishedRound);
                if (hasFinishedRound) {
                    placementLag.endRound();
                }
                logLag();
                if (!hasReportedCapacity && isCapacityKnown()) {
                    hasReportedCapacity = true;
                    options.onCapacityKnown();
                }
            }
            if (performance.now() - reviewedAt >= reviewInterval) {
                reviewedAt = performance.now();
                runWatchdog.review();
                speedMonitor.review();
                logOverdueAbsences();
                reviewAbsentTasks();
                outgoingTransfers.review();
                incomingTransfers.review();
                evacuationMonitor.review();
            }
        }
    };
    const dropOldWorkflows = (): void => {
        const cutoff = performance.now() - timing.retention;
        for (const [id, at] of settledAt) {
            if (at < cutoff) {
                settledAt.delete(id);
                ledgers.get(id)?.release();
                runController.forgetWorkflow(id);
                forgetWorkflow(id);
                ledgers.delete(id);
                workflowMemory.release(id);
                writer.forget(id);
            }
        }
    };
    const addLedger = (ledger: WorkflowLedger, progressVersion: number): void => {
        const { id } = ledger.workflow;
        ledgers.set(id, ledger);
        workflowMemory.hold(ledger.workflow);
        writer.setVersion(id, progressVersion);
        ledger.returned().forEach(task => {
            runController.reserveNumbers(taskName({ job: id, ...task }), task.lastRun);
        });
    };
    const load = async (): Promise<boolean> => {
        const loaded = await loadCell(store, cell, logger, createLimits);
        if (loaded.isErr) {
            logger.warn(
                { cell, epoch, error: loaded.error.kind, message: loaded.error.message },
                "loading the cell failed; retrying",
            );
            return false;
        }
        for (const { ledger, progressVersion } of loaded.value.ledgers) {
            addLedger(ledger, progressVersion);
            inheritedJobs.add(ledger.workflow.id);
            submissionAdmission.inherit(ledger.workflow);
        }
        incomingTransfers.inherit(loaded.value.transferRows);
        [...incomingTransfers.ledgers.keys()].forEach(id => inheritedJobs.add(id));
        roster.inherit(loaded.value);
        const { starts, lateSignAge, hasAllStarts, absentTasks, locatedTasks, epoch: storedIn } =
            loaded.value.unansweredStarts;
        startWriter.setStored(loaded.value.unansweredStartsVersion, loaded.value.unansweredStarts);
        areStartsKnown = hasAllStarts;
        if (lateSignAge !== undefined) {
            // The sign is older than the takeover, however long the load took.
            lateOrderDetector.recordSign(Math.min(performance.now() - lateSignAge, options.takenAt));
        }
        const lastingStarts = starts.filter(({ isLasting }) => isLasting);
        if (hasAllStarts) {
            lastingStarts.forEach(({ task, worker }) => {
                recordWorkers(task, [worker]);
            });
        }
        if (hasAllStarts && storedIn === epoch - 1) {
            locatedTasks.forEach(({ task, workers: on }) => {
                recordWorkers(task, on);
            });
        }
        if (loaded.value.unansweredStartsVersion > 0) {
            startWriter.request();
        }
        [...[...lastingStarts, ...locatedTasks].map(({ task }) => task), ...absentTasks].forEach(recordEarlierRun);
        unansweredStarts.inherit(loaded.value.unansweredStarts).forEach(({ worker, ...start }) => {
            workers.get(worker)?.session.expectStart(start);
        });
        isActive = true;
        recovery.record("loaded");
        logger.info({
            cell,
            epoch,
            workflows: ledgers.size,
            workers: workers.size,
            unansweredStarts: loaded.value.unansweredStarts.starts.length,
            took: Math.round(performance.now() - options.takenAt),
        }, "cell loaded");
        onActive();
        return true;
    };
    const run = async (): Promise<void> => {
        // Loading may take longer than a holder may go without a proof.
        void runRenewals();
        while (!signal.aborted && !await load()) {
            await sleep(loadRetryDelay, signal);
        }
        void roster.run(signal);
        void runPasses();
        void sweep.run(signal);
        void incomingTransfers.run(signal);
        void startWriter.run(signal);
        while (!signal.aborted) {
            await sleep(timing.retention / 10, signal);
            dropOldWorkflows();
            intake.forgetEndStates();
        }
    };
    const intake = createWorkflowIntake({
        store,
        lease,
        logger,
        metrics,
        signal,
        waitingMemory: options.waitingMemory,
        lateWriteTime: timing.lateOrderTime,
        onCompleted: id => {
            releaseUnlessStored(id);
        },
        stateOf: id => ledgers.get(id)?.state(),
        onStored: ({ workflow, progress, progressVersion }) => {
            addLedger(createWorkflowLedger(workflow, progress, createLimits()), progressVersion);
            accepted.push(workflow.id);
            passWakeUp.notify();
        },
    });
    /** Gives back the memory of a workflow that is not stored here. */
    const releaseUnlessStored = (id: JobId): void => {
        if (!ledgers.has(id) && !intake.hasPendingSubmission(id)) {
            workflowMemory.release(id);
        }
    };
    const room = createCellRoom({
        workers,
        ledgers,
        transferredLedgers: incomingTransfers.ledgers,
        pendingWorkflows: intake.pendingWorkflows,
    });
    const submissionAdmission = createSubmissionAdmission({
        cell,
        epoch,
        queueOf: workflow => findQueue(workflow.queue.name) ?? workflow.queue,
        runTime,
        scheduler,
        logger,
        metrics,
    });
    const transferOffers = createTransferOffers({ workers, runRegistry, capacity: room.forTransfers });
    const evacuationMonitor = createEvacuationMonitor({
        cell,
        epoch,
        workers,
        runRegistry,
        evacuations,
        countWaiting: () => [...ledgers.values(), ...incomingTransfers.ledgers.values()].filter(hasWaitingTasks).length,
        metrics,
        logger,
    });
    signal.addEventListener("abort", evacuationMonitor.stop);
    /** Whether accepted tasks wait for placement. */
    const hasWaitingWork = (): boolean =>
        intake.pendingWorkflows().length > 0
        || [...ledgers.values(), ...incomingTransfers.ledgers.values()].some(hasWaitingTasks);
    /** Whether accepted workflows wait without a run for longer than passes need to start a task of each. */
    const hasStarvingWork = (): boolean => scheduler.longestWait() > longestStarvation;
    const isBehind = (): boolean => hasStarvingWork() || placementLag.isBehind() && hasWaitingWork();
    /** Whether new workflows would run late or not at all: placement is late, or has yet to visit inherited tasks. */
    const declinesWork = (): boolean => isBehind() || !placementLag.hasRun() && hasWaitingWork();
    void writer.run(signal);
    void run();
    const operations = createWorkflowOperations({
        ledgers,
        intake,
        lease,
        writer,
        runController,
        logger,
        hasSuccessor: () => options.hasSuccessor(epoch),
        signal,
    });
    return {
        cell,
        epoch,
        isActive: () => isActive,
        isLost: lease.isLost,
        submit: async (workflow, mayDecline, knownLongRunningCpu = Infinity) => {
            if (!isActive) {
                return { kind: "not-holder" };
            }
            const isNew = !ledgers.has(workflow.id) && !intake.hasPendingSubmission(workflow.id);
            if (isNew && room.isClosed()) {
                metrics.submissions.inc({ outcome: "evacuated" });
                return { kind: "full", roomShare: 0 };
            }
            const starts = isNew && declinesWork() ? reservedStarts(workflow) : 0;
            if (starts > placementReserve.left(performance.now())) {
                metrics.submissions.inc({ outcome: "behind" });
                return { kind: "behind" };
            }
            if (isNew && mayDecline) {
                const { lateness } = submissionAdmission.judge(workflow);
                const roomShare = Math.min(room.shareFor(workflow.steps), 1 - lateness);
                const hasMoreWork = Number.isFinite(knownLongRunningCpu)
                    && room.load().longRunningCpu > knownLongRunningCpu;
                if (roomShare < 1 || hasMoreWork) {
                    return { kind: "full", roomShare };
                }
            }
            if (isNew && !workflowMemory.reserve(workflow)) {
                metrics.submissions.inc({ outcome: "no-memory" });
                return { kind: "refused" };
            }
            const admission = isNew ? submissionAdmission.admit(workflow) : { kind: "accepted" as const, workflow };
            if (admission.kind === "refused") {
                releaseUnlessStored(workflow.id);
                metrics.submissions.inc({ outcome: "late" });
                return { kind: "late", retryAfter: admission.retryAfter };
            }
            placementReserve.take(starts, performance.now());
            const reply = await intake.submit(admission.workflow);
            releaseUnlessStored(workflow.id);
            return reply;
        },
        state: async id => isActive ? await operations.state(id) : "not-holder",
        cancel: async id => isActive ? await operations.cancel(id) : "not-holder",
        provenAgo: () => performance.now() - lease.provenAt(),
        proveLease: async () => {
            store.reconnect();
            return await lease.renew(freshReadTimeout);
        },
        load: () => isActive ? room.load() : undefined,
        offerRoom: request => isActive ? transferOffers.offer(request) : 0,
        readTransfers: incomingTransfers.notify,
        recordDomainReopened: domainRamp.recordDomainReopened,
        readReturns: (id, from) => void outgoingTransfers.readReturns(id, from),
        summary: () => {
            const reported = accepted;
            accepted = [];
            return summarizeCell({
                lease,
                isActive,
                isBehind: isBehind(),
                placementReserve: placementReserve.left(performance.now()),
                accepted: reported,
                ledgers: ledgers.values(),
                transferredLedgers: incomingTransfers.ledgers.values(),
                workers: workers.values(),
                queueOf,
                runTime,
            });
        },
        stop: () => {
            stop.abort();
        },
    };
};
