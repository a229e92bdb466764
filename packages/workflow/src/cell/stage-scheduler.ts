import type { WorkerHealth } from "@jayfront/policy";
import type { FailureDomainId, ServiceId, WorkerId } from "@jayfront/world";
import type { Logger } from "pino";

import type { Stage } from "../ledger/stage.js";
import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { Queue } from "../model/queue.js";
import type { Step } from "../model/step.js";
import type { TaskName, TaskNameParts } from "../model/task-name.js";
import { taskName } from "../model/task-name.js";
import type { DomainRamp, DomainUse } from "../policy/domain-ramp.js";
import type { ExpectedTimes } from "../policy/expected-times.js";
import { expectedTimes } from "../policy/expected-times.js";
import { laxitiesOf, laxityAsLate } from "../policy/laxities.js";
import type { StartGate, StartGateFacts } from "../policy/start-gate.js";
import { startGate } from "../policy/start-gate.js";
import type { StartRates } from "../policy/start-rates.js";
import { createStartRates } from "../policy/start-rates.js";
import type { Urgency } from "../policy/urgency.js";
import { compareUrgency } from "../policy/urgency.js";
import type { WaitingWork, WorkPool } from "../policy/waiting-work.js";
import { poolOf } from "../policy/waiting-work.js";
import type { WorkerCandidate } from "../policy/worker-candidate.js";
import type { CellWorker, CellWorkers } from "./cell-workers.js";
import { canRunStep, isOpenTo, mayStartOn } from "./cell-workers.js";
import type { CpuRoom } from "./cpu-room.js";
import type { EligibleWorkers, WorkerExclusions } from "./eligible-workers.js";
import { createEligibleWorkers } from "./eligible-workers.js";
import { createFailedSearches } from "./failed-searches.js";
import { createFreeRoom } from "./free-room.js";
import type { InterferenceController, ServingSummary } from "./interference-controller.js";
import { createLongRunningAdmission } from "./long-running-admission.js";
import type { NearWaits } from "./near-waits.js";
import type { CandidateVisit } from "./pass-rounds.js";
import { createPassRounds } from "./pass-rounds.js";
import type { ReplacementPlace, ReplacementPlaces } from "./replacement-places.js";
import type { RunController } from "./run-controller.js";
import type { RunRegistry } from "./run-registry.js";
import type { RunTimePredictor } from "./run-statistics.js";
import type { Run } from "./run.js";
import type { SpeedLimits } from "./speed-limits.js";
import type { StageCandidate } from "./stage-candidate.js";
import { stageName } from "./stage-name.js";
import { createStarvingWorkflows } from "./starving-workflows.js";
import { createSuspectPlacement } from "./suspect-placement.js";
import type { UnansweredStarts } from "./unanswered-starts.js";
import type { WorkerCrashes } from "./worker-crashes.js";
import { createWorkerReservations } from "./worker-reservations.js";

/** Decides which waiting tasks start, and on which workers. */
export interface StageScheduler {
    /**
     * Starts waiting tasks that can start now, and keeps places for long-running tasks of draining workers, until
     * `StageSchedulerOptions.passTime` is over; the next pass goes on. Returns whether all tasks have had their turn.
     */
    readonly runPass: () => boolean;
    /** See `StarvingWorkflows.longestWait`. */
    readonly longestWait: () => number;
    /** See `StartRates.rateOf`. */
    readonly startRate: StartRates["rateOf"];
    /** Short-lived work that was waiting for room, or for its turn, after the last pass; the same array until the next. */
    readonly waitingWork: () => readonly WaitingWork[];
    /**
     * Keeps a place for the run's task on another worker that would get the task if it waited; returns whether there is
     * one. The caller stops the run.
     */
    readonly keepPlaceElsewhere: (run: Run) => boolean;
    /** Whether the run holds memory or accelerators that a waiting task needs for which its worker is reserved. */
    readonly holdsReservedRoom: (run: Run) => boolean;
    /** Why a long-running task that has run before did not start in the last pass, with the figures that decide it. */
    readonly explainWait: (ledger: WorkflowLedger, position: TaskNameParts) => WaitExplanation;
}

/** Why a task waits; `undefined` for a task of a step that the workflow does not have. */
export type WaitExplanation = (StartGateFacts & { readonly gate: StartGate; }) | undefined;

/** Options of {@link createStageScheduler}. */
export interface StageSchedulerOptions {
    readonly ledgers: () => Iterable<WorkflowLedger>;
    readonly workers: CellWorkers;
    readonly runRegistry: RunRegistry;
    readonly runController: RunController;
    /** Expected run time of a task, in milliseconds. */
    readonly runTime: RunTimePredictor;
    readonly health: WorkerHealth;
    readonly logger: Logger;
    /** The workflow's queue in the current configuration. */
    readonly queueOf: (ledger: WorkflowLedger) => Queue;
    /** Whether tasks of the workflow may still run on a worker that has not reported to this holder. */
    readonly isHeldBack: (ledger: WorkflowLedger) => boolean;
    /** The tasks of a workflow that is held back which may start all the same, since all of their runs are known. */
    readonly accountedTasks: (ledger: WorkflowLedger) => ReadonlySet<TaskName>;
    /** Whether the task has failed on the worker before. */
    readonly hasFailedOn: (task: TaskName, worker: CellWorker) => boolean;
    /** See `UnansweredStarts.constraintOf`. */
    readonly constraintOf: UnansweredStarts["constraintOf"];
    /** Places for tasks that leave their workers; the scheduler keeps, uses and releases them. */
    readonly replacementPlaces: ReplacementPlaces;
    readonly workerCrashes: Pick<WorkerCrashes, "isRecent">;
    readonly speedLimits: SpeedLimits;
    readonly domainRamp: DomainRamp;
    readonly interference: Pick<InterferenceController, "summarizeServing" | "slackWith" | "compatibleShareLoss">;
    /** Waits for places where tasks run faster. */
    readonly nearWaits: NearWaits;
    /** Milliseconds of a pass after which the next one goes on; see `PassRounds`. */
    readonly passTime: number;
    /** See `OtherCells.cpuRoom`. */
    readonly otherCellsRoom: () => CpuRoom;
}

/** Properties that tell in the log what excludes the workers with room. */
interface WaitDetails {
    /**
     * Numbers of workers with room by the filter that excludes them: `reserved` for other tasks, those of
     * `WorkerExclusions`, and room that is kept for urgent work.
     */
    readonly excluded?: Omit<WorkerExclusions, "none"> & { readonly reserved: number; readonly keptForUrgent: number; };
    /** Step that found no worker in the same pass, named by its workflow, occurrence and index; its tasks need no more. */
    readonly blockedBy?: string;
    /** Whether the ends of more runs might not fit into the workflow's progress row. */
    readonly isProgressFull?: boolean;
}

/** Whether a worker lacks what a task of the step requires, by resource. */
const resourceChecks = {
    label: ({ session }: CellWorker, { requiredLabel }: Step): boolean =>
        requiredLabel !== undefined && !session.entry().labels.includes(requiredLabel),
    cpu: ({ resources }: CellWorker, step: Step): boolean => !step.usesSpareCpu && resources.freeCpu() < step.cpu,
    memory: ({ resources }: CellWorker, step: Step): boolean => resources.freeMemory() < step.memory,
    accelerators: ({ resources }: CellWorker, step: Step): boolean => resources.freeAccelerators() < step.accelerators,
};
const resourceNames = Object.keys(resourceChecks) as readonly (keyof typeof resourceChecks)[];

const taskOf = ({ ledger, stage }: StageCandidate, index: number): TaskName =>
    taskName({ job: ledger.workflow.id, occurrence: stage.occurrence, step: stage.stepIndex, index });

/** Groups the indices `waiting` of a step's tasks that may start by `Urgency.lasting`. */
const groupWaiting = (
    { step, record }: Stage,
    waiting: readonly number[],
): [Urgency["lasting"], readonly number[]][] => {
    if (!step.isLasting) {
        return [["no", waiting]];
    }
    const first = waiting.length === step.count ? waiting.slice(0, 1) : [];
    const rest = waiting.slice(first.length);
    const groups: [Urgency["lasting"], readonly number[]][] = [
        ["first", first],
        ["again", rest.filter(index => record.started.has(index))],
        ["new", rest.filter(index => !record.started.has(index))],
    ];
    return groups.filter(([, indices]) => indices.length > 0);
};

/** Share of the processor time reserved by serving tasks that is idle, since they are sized for peak load. */
const servingIdleShare = 0.55;

/** Share of a pass in which tasks of starving workflows are started. */
const starvingShare = 0.25;

/** Milliseconds within which tasks start that wait neither for room nor for their turn: two passes of a busy holder. */
const usualStartTime = 250;

/** Minimum milliseconds between two log lines on why a step waits; the cause seldom changes sooner. */
const waitLogInterval = 2_000;

/** Creates the scheduler of a cell. */
export const createStageScheduler = (options: StageSchedulerOptions): StageScheduler => {
    const {
        ledgers,
        workers,
        runRegistry,
        runController,
        runTime,
        health,
        logger,
        queueOf,
        isHeldBack,
        accountedTasks,
        hasFailedOn,
        constraintOf,
        replacementPlaces,
        workerCrashes,
        speedLimits,
        domainRamp,
        interference,
        nearWaits,
        passTime,
        otherCellsRoom,
    } = options;

    const admission = createLongRunningAdmission({ workers, runRegistry, constraintOf });
    const reservations = createWorkerReservations({
        workers,
        runRegistry,
        runTimeOf: ({ ledger, step, position }) => runTime(ledger.workflow.id, queueOf(ledger), step, position.step),
    });
    const suspectPlacement = createSuspectPlacement(runRegistry, workerCrashes);
    const failedSearches = createFailedSearches({ classOf: speedLimits.classOf });
    const freeRoom = createFreeRoom({ workers, otherCellsRoom });
    const starvingWorkflows = createStarvingWorkflows({ freeRoom, runRegistry });
    const rounds = createPassRounds(passTime);
    const startRates = createStartRates();
    /** Monotonic times in ms at which the reason why a step waits was last logged, for any of its occurrences. */
    const waitsLoggedAt = new WeakMap<Step, number>();
    // The following caches are valid for one pass.
    /** Summaries of the serving tasks by worker. */
    const summaries = new Map<WorkerId, ServingSummary>();
    /** Workers that accept new tasks, by service. */
    const openWorkers = new Map<ServiceId, readonly CellWorker[]>();

    const expectedTimesOf = ({ workflow }: WorkflowLedger, queue: Queue): ExpectedTimes =>
        expectedTimes(workflow.steps, queue, (step, number) => runTime(workflow.id, queue, step, number));
    const urgencyOf = (
        ledger: WorkflowLedger,
        stage: Stage,
        queue: Queue,
        { paths, objective }: ExpectedTimes,
    ): Omit<Urgency, "lasting"> => {
        const { acceptedAt, schedule, isLate } = ledger.workflow;
        const dueAt = schedule === undefined ? acceptedAt : schedule.firstDue + stage.occurrence * schedule.interval;
        const spareTime = dueAt - Date.now() - (paths[stage.stepIndex] ?? 0);
        const { laxity, expiryLaxity } = laxitiesOf(spareTime, objective);
        return {
            priority: queue.priority,
            laxity: isLate === true ? laxityAsLate(laxity) : laxity,
            expiryLaxity,
        };
    };
    /** The members of a gang start together, so that they are not kept apart. */
    const groupBySuspicion = (
        ledger: WorkflowLedger,
        { step, stepIndex, occurrence, record }: Stage,
        indices: readonly number[],
    ): Pick<StageCandidate, "indices" | "isSuspect">[] => {
        if (record.crashes.size === 0 || step.isGang) {
            return [{ indices, isSuspect: false }];
        }
        const isSuspect = (index: number): boolean => ledger.crashWeight({ occurrence, step: stepIndex, index }) > 0;
        return [
            { indices: indices.filter(index => !isSuspect(index)), isSuspect: false },
            { indices: indices.filter(isSuspect), isSuspect: true },
        ].filter(group => group.indices.length > 0);
    };
    const candidatesFrom = (ledger: WorkflowLedger, now: number, monotonicNow: number): StageCandidate[] => {
        const queue = queueOf(ledger);
        const waiting = ledger.openStages(now, monotonicNow)
            .map(stage => ({ stage, indices: ledger.startable(stage) }))
            .filter(({ indices }) => indices.length > 0);
        if (waiting.length === 0) {
            return [];
        }
        const expectedTimes = expectedTimesOf(ledger, queue);
        return waiting.flatMap(({ stage, indices: startable }) => {
            const urgency = urgencyOf(ledger, stage, queue, expectedTimes);
            return groupWaiting(stage, startable).flatMap(([lasting, indices]) =>
                groupBySuspicion(ledger, stage, indices).map(group => ({
                    ledger,
                    stage,
                    queue,
                    urgency: { ...urgency, lasting },
                    ...group,
                }))
            );
        });
    };
    const candidateOf = (
        ledger: WorkflowLedger,
        stage: Stage,
        indices: readonly number[],
        lasting: Urgency["lasting"],
    ): StageCandidate => {
        const queue = queueOf(ledger);
        const urgency = urgencyOf(ledger, stage, queue, expectedTimesOf(ledger, queue));
        return { ledger, stage, queue, urgency: { ...urgency, lasting }, indices, isSuspect: false };
    };
    /** Long-running tasks that run on draining workers and have no place on another one, by step. */
    const leavingCandidates = (): StageCandidate[] => {
        const accounted = new Map<WorkflowLedger, ReadonlySet<TaskName>>();
        const isAccounted = (ledger: WorkflowLedger, task: TaskName): boolean => {
            const tasks = accounted.get(ledger) ?? accountedTasks(ledger);
            accounted.set(ledger, tasks);
            return tasks.has(task);
        };
        const byStage = new Map<Stage, { readonly ledger: WorkflowLedger; readonly indices: number[]; }>();
        for (const worker of workers.values()) {
            const runs = worker.drainingSince === undefined ? [] : runRegistry.ofWorker(worker.session.id);
            for (const { ledger, phase, position, step, task } of runs) {
                const isLeaving = step.isLasting && !step.isGang && phase === "running" && !replacementPlaces.has(task)
                    && !ledger.isSettled() && (!isHeldBack(ledger) || isAccounted(ledger, task));
                const stage = isLeaving ? ledger.stage(position) : undefined;
                if (stage !== undefined) {
                    const group = byStage.get(stage) ?? { ledger, indices: [] };
                    group.indices.push(position.index);
                    byStage.set(stage, group);
                }
            }
        }
        return [...byStage].map(([stage, { ledger, indices }]) => candidateOf(ledger, stage, indices, "leaving"));
    };
    /** Candidates from a workflow that is held back. */
    const accountedCandidates = (ledger: WorkflowLedger, now: number, monotonicNow: number): StageCandidate[] => {
        const accounted = accountedTasks(ledger);
        return accounted.size === 0 ? [] : candidatesFrom(ledger, now, monotonicNow).flatMap(candidate => {
            const indices = candidate.indices.filter(index => accounted.has(taskOf(candidate, index)));
            return indices.length === 0 || candidate.stage.step.isGang ? [] : [{ ...candidate, indices }];
        });
    };
    const findCandidates = (): StageCandidate[] => {
        const now = Date.now();
        const monotonicNow = performance.now();
        const found = leavingCandidates();
        for (const ledger of ledgers()) {
            if (!ledger.isSettled()) {
                const collect = isHeldBack(ledger) ? accountedCandidates : candidatesFrom;
                found.push(...collect(ledger, now, monotonicNow));
            }
        }
        return found.sort((left, right) => compareUrgency(left.urgency, right.urgency));
    };
    const countStageTasksOn = (
        worker: CellWorker,
        { ledger, stage }: Pick<StageCandidate, "ledger" | "stage">,
    ): number => {
        const position = { job: ledger.workflow.id, occurrence: stage.occurrence, step: stage.stepIndex };
        let count = replacementPlaces.countOn(worker.session.id, position);
        for (const run of runRegistry.ofWorker(worker.session.id)) {
            const { job, occurrence, step } = run.position;
            count += job === ledger.workflow.id && occurrence === stage.occurrence && step === stage.stepIndex ? 1 : 0;
        }
        return count;
    };
    const summaryOf = (worker: CellWorker): ServingSummary => {
        const { id } = worker.session;
        const cached = summaries.get(id)
            ?? interference.summarizeServing(worker, [...runRegistry.ofWorker(id)], replacementPlaces.stepsOn(id));
        summaries.set(id, cached);
        return cached;
    };
    const workersOpenTo = (service: ServiceId): readonly CellWorker[] => {
        const cached = openWorkers.get(service) ?? [...workers.values()].filter(worker => isOpenTo(worker, service));
        openWorkers.set(service, cached);
        return cached;
    };
    const describeWorker = (worker: CellWorker, candidate: StageCandidate, speed: number): WorkerCandidate => {
        const { ledger, queue, stage: { step, stepIndex } } = candidate;
        const { session, resources } = worker;
        const summary = summaryOf(worker);
        const slack = step.usesSpareCpu
            ? interference.slackWith(worker, summary, step, runTime(ledger.workflow.id, queue, step, stepIndex))
            : undefined;
        return {
            id: session.id,
            rack: session.entry().rack,
            capacityCpu: resources.capacity().cpu,
            freeCpu: resources.freeCpu(),
            idleCpu: resources.spareCpu() + summary.servingCpu * servingIdleShare,
            servingImages: summary.servingImages,
            otherWorkflowCount: summary.servingWorkflows.size
                - (summary.servingWorkflows.has(ledger.workflow.id) ? 1 : 0),
            slackBefore: slack?.before ?? Infinity,
            slackAfter: slack?.after ?? Infinity,
            compatibleShareLoss: step.tailTarget === undefined ? 0 : interference.compatibleShareLoss(summary, step),
            speed,
            hasFailedBefore: false,
        };
    };
    /** Whether the ramp of a failure domain applies to the candidate; it spares long-running tasks without a run. */
    const isRamped = ({ urgency }: StageCandidate): boolean =>
        domainRamp.isFilling() && (urgency.lasting === "no" || urgency.lasting === "new");
    const useOfDomain = (domain: FailureDomainId): DomainUse => {
        let capacityCpu = 0;
        let usedCpu = 0;
        for (const { session, resources } of workers.values()) {
            if (session.entry().failureDomain === domain) {
                capacityCpu += resources.capacity().cpu;
                usedCpu += resources.capacity().cpu - resources.spareCpu();
            }
        }
        return { capacityCpu, usedCpu };
    };
    /** `countPlannedOn`: number of the step's tasks that are planned for the worker but have not started. */
    const eligibleWorkersFor = (
        candidate: StageCandidate,
        rack?: string,
        countPlannedOn: (worker: CellWorker) => number = () => 0,
    ): EligibleWorkers => {
        const { queue, stage: { step }, isSuspect } = candidate;
        const available = workersOpenTo(queue.service).filter(worker =>
            !reservations.isReserved(worker) && !suspectPlacement.isOnTrial(worker)
        );
        const open = isSuspect
            ? suspectPlacement.select(available.filter(worker => canRunStep(worker, step)))
            : available;
        const speedFor = speedLimits.speedsFor(candidate, open);
        const isFilledByDegrees = isRamped(candidate);
        return createEligibleWorkers({
            step,
            workers: rack === undefined ? open : open.filter(worker => worker.session.entry().rack === rack),
            health,
            exclusionOf: worker =>
                speedFor(worker) === undefined
                    ? "slow"
                    : isFilledByDegrees && !domainRamp.mayStart(worker.session.entry().failureDomain)
                    ? "filling"
                    : undefined,
            shouldBeFast: () => !speedLimits.hasTime(candidate),
            describe: worker => describeWorker(worker, candidate, speedFor(worker) ?? 1),
            countTasksOn: worker => countStageTasksOn(worker, candidate) + countPlannedOn(worker),
            hasFailedOn,
            constraintOf,
        });
    };
    /** Milliseconds for which the task that has waited longest has had no run; it may have run before. */
    const longestAbsence = ({ stage: { record }, indices }: StageCandidate, now: number): number => {
        const since = indices.map(index => record.lastEnds.get(index) ?? record.readySince ?? now);
        return now - Math.min(now, ...since);
    };
    /** Counts the workers that lack a resource or the label that the step requires, each under the first one it lacks. */
    const countLacking = (step: Step, open: readonly CellWorker[]): Record<keyof typeof resourceChecks, number> => {
        const lacking = { label: 0, cpu: 0, memory: 0, accelerators: 0 };
        for (const worker of open) {
            const first = resourceNames.find(name => resourceChecks[name](worker, step));
            if (first !== undefined) {
                lacking[first] += 1;
            }
        }
        return lacking;
    };
    /**
     * Logs what tasks of a step wait for: room, or what excludes the workers with room. `details` returns further
     * properties of the line and is called only if the line is due.
     */
    const logWait = (candidate: StageCandidate, details: () => WaitDetails): void => {
        const { ledger, queue, stage: { step, stepIndex, record }, urgency, indices } = candidate;
        const now = performance.now();
        if (now - (waitsLoggedAt.get(step) ?? -Infinity) < waitLogInterval) {
            return;
        }
        waitsLoggedAt.set(step, now);
        const fitting = [...workers.values()].filter(worker => mayStartOn(worker, queue.service, step));
        logger.info({
            job: ledger.workflow.id,
            queue: queue.name,
            priority: queue.priority,
            usesSpareCpu: step.usesSpareCpu,
            step: stepIndex,
            tasks: indices.length,
            waited: Math.round(now - (record.readySince ?? now)),
            laxity: Math.round(urgency.laxity),
            cpu: step.cpu,
            memory: step.memory,
            workers: workers.size,
            lacking: countLacking(step, workersOpenTo(queue.service)),
            withRoom: fitting.length,
            trusted: fitting.filter(worker => health.allowance(worker.session.id) > 0).length,
            isKeptForUrgent: fitting.length > 0 && !admission.mayStart(candidate),
            lasting: urgency.lasting,
            withoutRunFor: step.isLasting ? Math.round(longestAbsence(candidate, now)) : undefined,
            runsOfWorkflow: runRegistry.ofWorkflow(ledger.workflow.id).length,
            freeShare: Number(freeRoom.ofCell().toFixed(2)),
            totalFreeShare: Number(freeRoom.ofAllCells().toFixed(2)),
            ...details(),
        }, "step waits");
    };
    /** Counts the workers with room on which the task may not start in this pass, by what excludes them. */
    const countExcluded = (candidate: StageCandidate, index: number, eligibleWorkers: EligibleWorkers): WaitDetails => {
        const { queue, stage: { step } } = candidate;
        const reserved = workersOpenTo(queue.service)
            .filter(worker => reservations.isReserved(worker) && canRunStep(worker, step)).length;
        const { none, ...excluded } = eligibleWorkers.countExclusions(taskOf(candidate, index));
        return { excluded: { reserved, ...excluded, keptForUrgent: admission.mayStart(candidate) ? 0 : none } };
    };
    const startOne = (candidate: StageCandidate, index: number, worker: CellWorker, number?: number): void => {
        health.recordStart(worker.session.id);
        summaries.delete(worker.session.id);
        reservations.recordStart(worker);
        admission.recordStart();
        domainRamp.recordStart(worker.session.entry().failureDomain, candidate.stage.step.cpu);
        const { ledger, queue, stage, urgency, isSuspect } = candidate;
        if (isSuspect) {
            suspectPlacement.recordStart(ledger, worker);
        }
        logger.info({
            job: ledger.workflow.id,
            queue: queue.name,
            step: stage.stepIndex,
            index,
            worker: worker.session.id,
            image: stage.step.image,
            cpu: stage.step.cpu,
            waited: Math.round(performance.now() - (stage.record.readySince ?? 0)),
            laxity: Math.round(urgency.laxity),
            isSuspect,
            freeCpu: worker.resources.freeCpu(),
            spareCpu: worker.resources.spareCpu(),
        }, "start ordered");
        const { step, stepIndex } = stage;
        if (step.preferredRack !== undefined && !step.isGang) {
            nearWaits.recordStart(candidate, index, worker.session.entry().rack === step.preferredRack);
        }
        if (!step.isLasting) {
            const work = step.cpu * runTime(ledger.workflow.id, queue, step, stepIndex);
            startRates.recordStart(poolOf(step), queue.priority, work);
        }
        runController.start(ledger, stage, index, worker.session, number);
        if (stage.record.waiting.size === 0) {
            stage.record.noRoomSince = undefined;
        }
    };
    /** Finds workers for all members of a gang by `method`; undefined if they can't all start now. */
    const planGang = (
        candidate: StageCandidate,
        method: "choose" | "chooseAlways",
        rack?: string,
    ): CellWorker[] | undefined => {
        const { step, record } = candidate.stage;
        const plan: CellWorker[] = [];
        const eligibleWorkers = eligibleWorkersFor(
            candidate,
            rack,
            worker => plan.filter(planned => planned === worker).length,
        );
        for (const index of record.waiting) {
            const worker = eligibleWorkers[method](taskOf(candidate, index));
            if (worker === undefined) {
                break;
            }
            worker.resources.add(step);
            plan.push(worker);
            eligibleWorkers.refresh(worker);
        }
        plan.forEach(worker => {
            worker.resources.remove(step);
        });
        return plan.length === record.waiting.size ? plan : undefined;
    };
    const racks = (): string[] => [...new Set([...workers.values()].map(worker => worker.session.entry().rack))];
    const startGang = (candidate: StageCandidate, method: "choose" | "chooseAlways" = "choose"): void => {
        const { step, record } = candidate.stage;
        if (record.waiting.size < step.count) {
            return;
        }
        if (!candidate.ledger.hasRoomForEnd(candidate.stage, 0)) {
            logWait(candidate, () => ({ isProgressFull: true }));
            return;
        }
        const oneRackPlan = step.needsOneRack
            ? racks().map(rack => planGang(candidate, method, rack)).find(plan => plan !== undefined)
            : undefined;
        const plan = oneRackPlan ?? planGang(candidate, method);
        if (plan === undefined) {
            const [first = 0] = record.waiting;
            logWait(candidate, () => countExcluded(candidate, first, eligibleWorkersFor(candidate)));
            return;
        }
        if (oneRackPlan === undefined && method === "choose" && nearWaits.gangWaits(candidate)) {
            return;
        }
        const indices = [...record.waiting];
        const numbers = indices.map(index => runController.nextNumber(taskOf(candidate, index)));
        const number = Math.max(...numbers);
        indices.forEach((index, member) => {
            const worker = plan[member];
            if (worker !== undefined) {
                startOne(candidate, index, worker, number);
                nearWaits.recordStart(candidate, index, oneRackPlan !== undefined);
            }
        });
    };
    const keepPlace = (candidate: StageCandidate, index: number, worker: CellWorker): void => {
        const { ledger, stage: { occurrence, step, stepIndex } } = candidate;
        const position = { job: ledger.workflow.id, occurrence, step: stepIndex, index };
        replacementPlaces.keep({ task: taskName(position), position, ledger, step, worker });
        summaries.delete(worker.session.id);
        reservations.recordStart(worker);
        admission.recordStart();
    };
    /** Whether the place's task still has to leave its worker or has left it, and its new worker accepts tasks. */
    const isPlaceNeeded = ({ task, position, ledger, worker }: ReplacementPlace): boolean => {
        const isWaiting = ledger.stage(position)?.record.waiting.has(position.index) === true;
        const isLeaving = runRegistry.ofTask(task).some(run =>
            run.phase === "stopping" || workers.get(run.worker)?.drainingSince !== undefined
        );
        return !ledger.isSettled() && isOpenTo(worker, queueOf(ledger).service) && (isWaiting || isLeaving);
    };
    /** See `ReplacementPlaces.release`. */
    const releasePlace = (task: TaskName): CellWorker | undefined => {
        const worker = replacementPlaces.release(task);
        if (worker !== undefined) {
            summaries.delete(worker.session.id);
        }
        return worker;
    };
    /** Starts the waiting tasks that have a place; returns the indices of the others. */
    const startOnPlaces = (candidate: StageCandidate): readonly number[] =>
        candidate.indices.filter(index => {
            const task = taskOf(candidate, index);
            const mayStart = constraintOf(task) === undefined && candidate.ledger.hasRoomForEnd(candidate.stage, index);
            const worker = mayStart ? releasePlace(task) : undefined;
            if (worker === undefined || !mayStartOn(worker, candidate.queue.service, candidate.stage.step)) {
                return true;
            }
            startOne(candidate, index, worker);
            return false;
        });
    /** Reserves the workers with the soonest room for long-running tasks, unless they are new. */
    const reserveWorkers = (candidate: StageCandidate, indices: readonly number[]): void => {
        const { queue, stage: { step }, urgency, isSuspect } = candidate;
        if (urgency.lasting === "no" || urgency.lasting === "new" || isSuspect || reservations.isFull()) {
            return;
        }
        const suitable = workersOpenTo(queue.service).filter(worker =>
            (step.requiredLabel === undefined || worker.session.entry().labels.includes(step.requiredLabel))
            && (step.perWorkerLimit === undefined || countStageTasksOn(worker, candidate) < step.perWorkerLimit)
            && health.allowance(worker.session.id) > 0
        );
        for (const index of indices) {
            const task = taskOf(candidate, index);
            if (constraintOf(task) === undefined) {
                reservations.reserve(task, step, suitable);
            }
        }
    };
    /** Starts one task that is suspected to crash workers, unless another one of the workflow is being tried. */
    const startSuspect = (candidate: StageCandidate): void => {
        const { ledger, stage, indices: [index] } = candidate;
        if (index === undefined || suspectPlacement.hasTrial(ledger) || !ledger.hasRoomForEnd(stage, index)) {
            return;
        }
        // The worker of a place that the task got before the crash may run others that are not proven.
        releasePlace(taskOf(candidate, index));
        const eligible = eligibleWorkersFor(candidate);
        const worker = eligible.choose(taskOf(candidate, index));
        if (worker === undefined) {
            logWait(candidate, () => countExcluded(candidate, index, eligible));
            return;
        }
        startOne(candidate, index, worker);
    };
    /** Whether tasks of the candidate must not search, since others that need no more found no worker. */
    const isSearchInVain = (candidate: StageCandidate, indices: readonly number[]): boolean => {
        const { record } = candidate.stage;
        const blocker = failedSearches.blockerOf(candidate);
        if (blocker !== undefined) {
            record.noRoomSince ??= performance.now();
            logWait(candidate, () => ({ blockedBy: stageName(blocker) }));
            reserveWorkers(candidate, indices);
            return true;
        }
        if (failedSearches.isTooEarly(candidate)) {
            record.noRoomSince ??= performance.now();
            return true;
        }
        return false;
    };
    /** Starts or keeps places for tasks that need no particular worker; see `CandidateVisit`. */
    const placeTasks = (
        candidate: StageCandidate,
        indices: readonly number[],
        isTimeOver: () => boolean,
    ): boolean => {
        const { stage: { record }, urgency } = candidate;
        const place = urgency.lasting === "leaving" ? keepPlace : startOne;
        let eligibleWorkers: EligibleWorkers | undefined;
        let constrainedIndex: number | undefined;
        for (const [position, index] of indices.entries()) {
            if (!admission.mayStart(candidate)) {
                // A single place is kept for urgent work and for tasks that lose their run.
                const hasRoom = admission.hasRoomForTwo(candidate);
                record.noRoomSince = hasRoom ? undefined : record.noRoomSince ?? performance.now();
                logWait(candidate, () => countExcluded(candidate, index, eligibleWorkersFor(candidate)));
                return true;
            }
            if (urgency.lasting === "no" && !candidate.ledger.hasRoomForEnd(candidate.stage, index)) {
                logWait(candidate, () => ({ isProgressFull: true }));
                continue;
            }
            if (nearWaits.waitsUnsearched(candidate, index)) {
                continue;
            }
            const eligible = eligibleWorkers ??= eligibleWorkersFor(candidate);
            const worker = eligible.choose(taskOf(candidate, index));
            if (worker === undefined && constraintOf(taskOf(candidate, index)) !== undefined) {
                constrainedIndex ??= index;
                continue;
            }
            if (worker === undefined) {
                record.noRoomSince ??= performance.now();
                failedSearches.record(candidate);
                logWait(candidate, () => countExcluded(candidate, index, eligible));
                reserveWorkers(candidate, indices.slice(position));
                return true;
            }
            if (nearWaits.waits(candidate, index, worker)) {
                continue;
            }
            place(candidate, index, worker);
            if (position + 1 < indices.length && isTimeOver()) {
                return false;
            }
            eligible.refresh(worker);
        }
        if (constrainedIndex !== undefined && eligibleWorkers !== undefined) {
            const index = constrainedIndex;
            const eligible = eligibleWorkers;
            logWait(candidate, () => countExcluded(candidate, index, eligible));
        }
        return true;
    };
    /** Whether the task has neither been started nor got a place since the candidates were collected. */
    const isStillOpen = (candidate: StageCandidate, index: number): boolean =>
        candidate.urgency.lasting === "leaving"
            ? !replacementPlaces.has(taskOf(candidate, index))
            : candidate.stage.record.waiting.has(index);
    const visitCandidate: CandidateVisit = (collected, isTimeOver) => {
        // A pass may visit a candidate twice, if its first turn ended early.
        const open = collected.indices.filter(index => isStillOpen(collected, index));
        const candidate = { ...collected, indices: open };
        const { stage, urgency, isSuspect } = candidate;
        const { step } = stage;
        if (step.isGang) {
            startGang(candidate);
            return true;
        }
        if (isSuspect) {
            startSuspect(candidate);
            return true;
        }
        if (step.isLasting) {
            open.forEach(index => {
                reservations.release(taskOf(candidate, index));
            });
        }
        const position = { job: candidate.ledger.workflow.id, occurrence: stage.occurrence, step: stage.stepIndex };
        const mayHavePlaces = urgency.lasting !== "leaving" && replacementPlaces.hasOfStep(position);
        const indices = mayHavePlaces ? startOnPlaces(candidate) : open;
        return indices.length === 0 || isSearchInVain(candidate, indices) || placeTasks(candidate, indices, isTimeOver);
    };
    /** Starts a task of each starving workflow, as far as a part of the pass allows; at least one is tried. */
    const startStarving = (candidates: readonly StageCandidate[]): void => {
        const startedAt = performance.now();
        for (const [position, candidate] of starvingWorkflows.select(candidates).entries()) {
            if (position > 0 && performance.now() - startedAt >= passTime * starvingShare) {
                return;
            }
            starvingWorkflows.recordAttempt(candidate);
            if (candidate.stage.step.isGang) {
                startGang(candidate, "chooseAlways");
                continue;
            }
            const { indices } = candidate;
            const index = indices.find(each => constraintOf(taskOf(candidate, each)) === undefined) ?? indices[0] ?? 0;
            const mayStart = candidate.ledger.hasRoomForEnd(candidate.stage, index);
            const worker = mayStart ? eligibleWorkersFor(candidate).chooseAlways(taskOf(candidate, index)) : undefined;
            if (worker !== undefined) {
                startOne(candidate, index, worker);
            }
        }
    };
    const keepPlaceElsewhere: StageScheduler["keepPlaceElsewhere"] = ({ ledger, position, task, worker: current }) => {
        const stage = ledger.stage(position);
        if (stage === undefined || constraintOf(task) !== undefined) {
            return false;
        }
        const candidate = candidateOf(ledger, stage, [position.index], "no");
        // Many runs may be halted for the same reason.
        if (failedSearches.blockerOf(candidate) !== undefined || failedSearches.isTooEarly(candidate)) {
            return false;
        }
        // The state may have changed since the last pass.
        summaries.clear();
        openWorkers.clear();
        const worker = eligibleWorkersFor(candidate).choose(task);
        if (worker === undefined) {
            failedSearches.record(candidate);
        }
        if (worker === undefined || worker.session.id === current) {
            return false;
        }
        keepPlace(candidate, position.index, worker);
        return true;
    };
    const holdsReservedRoom: StageScheduler["holdsReservedRoom"] = ({ worker: id, step }) => {
        const resources = workers.get(id)?.resources;
        const reserved = reservations.reservedFor(id);
        if (resources === undefined || reserved === undefined) {
            return false;
        }
        const stopping = [...runRegistry.ofWorker(id)].filter(run => run.phase === "stopping");
        const sum = (resource: "memory" | "accelerators"): number =>
            stopping.reduce((total, run) => total + run.step[resource], 0);
        return step.memory > 0 && resources.freeMemory() + sum("memory") < reserved.memory
            || step.accelerators > 0 && resources.freeAccelerators() + sum("accelerators") < reserved.accelerators;
    };
    const explainWait: StageScheduler["explainWait"] = (ledger, position) => {
        const stage = ledger.stage(position);
        if (stage === undefined) {
            return undefined;
        }
        const { step } = stage;
        const queue = queueOf(ledger);
        const task = taskName(position);
        const open = [...workers.values()].filter(worker => isOpenTo(worker, queue.service));
        const withRoom = open.filter(worker => canRunStep(worker, step));
        const withinLimit = withRoom.filter(worker =>
            step.perWorkerLimit === undefined || countStageTasksOn(worker, { ledger, stage }) < step.perWorkerLimit
        );
        const facts = {
            isHeldBack: isHeldBack(ledger),
            isStored: !ledger.isDirty(),
            hasRun: runRegistry.ofTask(task).length > 0,
            constraint: constraintOf(task),
            openWorkers: open.length,
            withRoom: withRoom.length,
            withinLimit: withinLimit.length,
            unreserved: withinLimit.filter(worker => !reservations.isReserved(worker)).length,
        };
        return { ...facts, gate: startGate(facts) };
    };
    /** Short-lived tasks that wait for room or for their turn, not for particular workers; the others start with the next pass. */
    const isWaitingForRoom = ({ stage: { step, record }, isSuspect }: StageCandidate, now: number): boolean =>
        !step.isLasting && record.waiting.size > 0
        && (record.noRoomSince !== undefined || now - (record.readySince ?? now) > usualStartTime)
        && !step.isGang && !isSuspect && step.requiredLabel === undefined && step.perWorkerLimit === undefined;
    let waitingCandidates: readonly StageCandidate[] = [];
    /** Computed at most once after a pass. */
    let waitingWork: readonly WaitingWork[] | undefined;
    const recordWaiting = (candidates: readonly StageCandidate[]): void => {
        const now = performance.now();
        waitingCandidates = candidates.filter(candidate => isWaitingForRoom(candidate, now));
        waitingWork = undefined;
        const pools = new Set<WorkPool>();
        for (const { stage } of waitingCandidates) {
            pools.add(poolOf(stage.step));
        }
        startRates.endPass(pools, now);
    };
    return {
        keepPlaceElsewhere,
        holdsReservedRoom,
        explainWait,
        startRate: startRates.rateOf,
        waitingWork: () =>
            waitingWork ??= waitingCandidates.map(({ ledger, queue, urgency, stage: { step, stepIndex, record } }) => ({
                pool: poolOf(step),
                urgency,
                work: record.waiting.size * step.cpu * runTime(ledger.workflow.id, queue, step, stepIndex),
            })),
        longestWait: starvingWorkflows.longestWait,
        runPass: () => {
            summaries.clear();
            openWorkers.clear();
            failedSearches.beginPass();
            replacementPlaces.releaseUnneeded(isPlaceNeeded);
            const candidates = findCandidates();
            admission.beginPass(candidates);
            suspectPlacement.beginPass();
            nearWaits.beginPass(rounds.isUnfinished());
            reservations.beginPass(rounds.isUnfinished());
            domainRamp.beginPass(useOfDomain);
            startStarving(candidates);
            rounds.visit(candidates, visitCandidate);
            recordWaiting(candidates);
            return !rounds.isUnfinished();
        },
    };
};
