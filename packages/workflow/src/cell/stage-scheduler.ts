import type { WorkerHealth } from "@jayfront/policy";
import type { ServiceId, WorkerId } from "@jayfront/world";
import type { Logger } from "pino";

import type { Stage, WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { Queue } from "../model/queue.js";
import type { Step } from "../model/step.js";
import type { TaskName } from "../model/task-name.js";
import { taskName } from "../model/task-name.js";
import { criticalPath } from "../policy/critical-path.js";
import { remainingPath } from "../policy/remaining-path.js";
import type { Urgency } from "../policy/urgency.js";
import { compareUrgency } from "../policy/urgency.js";
import type { WorkerCandidate } from "../policy/worker-candidate.js";
import type { CellWorker, CellWorkers } from "./cell-workers.js";
import { isOpenTo, mayStartOn } from "./cell-workers.js";
import type { EligibleWorkers } from "./eligible-workers.js";
import { createEligibleWorkers } from "./eligible-workers.js";
import type { InterferenceController, ServingSummary } from "./interference-controller.js";
import { createLongRunningAdmission } from "./long-running-admission.js";
import type { RunController } from "./run-controller.js";
import type { RunRegistry } from "./run-registry.js";
import type { RunTimePredictor } from "./run-statistics.js";
import type { StageCandidate } from "./stage-candidate.js";
import type { UnansweredStarts } from "./unanswered-starts.js";
import { createWorkerReservations } from "./worker-reservations.js";

/** Decides which waiting tasks start where. */
export interface StageScheduler {
    /** Starts all that can start now. */
    readonly runPass: () => void;
}

/** Options of {@link createStageScheduler}. */
export interface StageSchedulerOptions {
    readonly ledgers: () => Iterable<WorkflowLedger>;
    readonly workers: CellWorkers;
    readonly runRegistry: RunRegistry;
    readonly runController: RunController;
    /** Milliseconds that a task of step `number` is expected to run. */
    readonly runTime: RunTimePredictor;
    readonly health: WorkerHealth;
    readonly logger: Logger;
    /** The queue as the configuration in force has it. */
    readonly queueOf: (ledger: WorkflowLedger) => Queue;
    /** Whether a run of the task may still go on somewhere unseen. */
    readonly isHeldBack: (ledger: WorkflowLedger) => boolean;
    /** Whether the task failed on the worker before. */
    readonly hasFailedOn: (task: TaskName, worker: CellWorker) => boolean;
    /** See `UnansweredStarts.placeOf`. */
    readonly constraintOf: UnansweredStarts["constraintOf"];
    readonly interference: Pick<InterferenceController, "summarizeServing" | "slackWith" | "hostingLoss">;
}

const taskOf = ({ ledger, stage }: StageCandidate, index: number): TaskName =>
    taskName({ job: ledger.workflow.id, occurrence: stage.occurrence, step: stage.number, index });

/** Indices that wait, by what is missing of a step that lasts. */
const groupWaiting = ({ step, record }: Stage): [Urgency["lasting"], readonly number[]][] => {
    const waiting = [...record.waiting];
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

/** Share of what serving tasks reserve that lies idle: they are sized for their peak. */
const idleShareOfServing = 0.55;
/** A workflow that takes longer than this multiple of its objective is of no use any more; from the users' rules. */
const uselessFactor = 3;

/** Milliseconds between two lines that say why a step waits; its cause seldom changes sooner. */
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
        hasFailedOn,
        constraintOf,
        interference,
    } = options;

    const gate = createLongRunningAdmission({ workers, runRegistry });
    const holder = createWorkerReservations({
        workers,
        runRegistry,
        runTimeOf: ({ ledger, step, position }) => runTime(ledger.workflow.id, queueOf(ledger), step, position.step),
    });
    /** What stands on workers, workers by service that take tasks, and sizes that found no worker; all hold for one pass. */
    const surveys = new Map<WorkerId, ServingSummary>();
    const openWorkers = new Map<ServiceId, readonly CellWorker[]>();
    const blockedSizes = new Map<string, Pick<Step, "cpu" | "memory">>();

    const timesOf = (ledger: WorkflowLedger, queue: Queue) => (step: Step, number: number): number =>
        runTime(ledger.workflow.id, queue, step, number);
    const urgencyOf = (
        ledger: WorkflowLedger,
        stage: Stage,
        queue: Queue,
        objective: number,
    ): Omit<Urgency, "lasting"> => {
        const { steps, acceptedAt, schedule } = ledger.workflow;
        const dueAt = schedule === undefined ? acceptedAt : schedule.firstDue + stage.occurrence * schedule.interval;
        const remaining = remainingPath(steps, stage.number, timesOf(ledger, queue));
        const spare = dueAt - Date.now() - remaining;
        return {
            priority: queue.priority,
            laxity: spare + objective,
            lateLaxity: spare + objective * uselessFactor,
        };
    };
    const candidatesOf = (ledger: WorkflowLedger, now: number, steadyNow: number): StageCandidate[] => {
        const queue = queueOf(ledger);
        const waiting = ledger.openStages(now, steadyNow).filter(({ record }) => record.waiting.size > 0);
        if (waiting.length === 0) {
            return [];
        }
        const path = criticalPath(ledger.workflow.steps, timesOf(ledger, queue));
        const objective = queue.slackFactor * path + queue.latencyTarget;
        return waiting.flatMap(stage => {
            const urgency = urgencyOf(ledger, stage, queue, objective);
            return groupWaiting(stage).map(([lasting, indices]) => ({
                ledger,
                stage,
                queue,
                urgency: { ...urgency, lasting },
                indices,
            }));
        });
    };
    const candidates = (): StageCandidate[] => {
        const now = Date.now();
        const steadyNow = performance.now();
        const found: StageCandidate[] = [];
        for (const ledger of ledgers()) {
            if (!ledger.isSettled() && !isHeldBack(ledger)) {
                found.push(...candidatesOf(ledger, now, steadyNow));
            }
        }
        return found.sort((left, right) => compareUrgency(left.urgency, right.urgency));
    };
    const tasksOfStageOn = (worker: CellWorker, { ledger, stage }: StageCandidate): number => {
        let count = 0;
        for (const run of runRegistry.ofWorker(worker.session.id)) {
            const { job, occurrence, step } = run.position;
            count += job === ledger.workflow.id && occurrence === stage.occurrence && step === stage.number ? 1 : 0;
        }
        return count;
    };
    const surveyOf = (worker: CellWorker): ServingSummary => {
        const { id } = worker.session;
        const known = surveys.get(id) ?? interference.summarizeServing(worker, [...runRegistry.ofWorker(id)]);
        surveys.set(id, known);
        return known;
    };
    const openTo = (service: ServiceId): readonly CellWorker[] => {
        const known = openWorkers.get(service) ?? [...workers.values()].filter(worker => isOpenTo(worker, service));
        openWorkers.set(service, known);
        return known;
    };
    const describe = (worker: CellWorker, candidate: StageCandidate): WorkerCandidate => {
        const { ledger, queue, stage: { step, number } } = candidate;
        const { session, room } = worker;
        const survey = surveyOf(worker);
        const slack = step.usesSpareCpu
            ? interference.slackWith(worker, survey, step, runTime(ledger.workflow.id, queue, step, number))
            : undefined;
        return {
            id: session.id,
            rack: session.entry().rack,
            capacityCpu: room.capacity().cpu,
            freeCpu: room.freeCpu(),
            idleCpu: room.spareCpu() + survey.servingCpu * idleShareOfServing,
            servingImages: survey.servingImages,
            otherWorkflows: survey.servingWorkflows.size - (survey.servingWorkflows.has(ledger.workflow.id) ? 1 : 0),
            slackBefore: slack?.before ?? Infinity,
            slackAfter: slack?.after ?? Infinity,
            hostingLoss: step.tailTarget === undefined ? 0 : interference.hostingLoss(survey, step),
            hasFailedBefore: false,
        };
    };
    /** `plannedOn`: tasks of the step that are to start on the worker beside those that have. */
    const placesOf = (
        candidate: StageCandidate,
        rack?: string,
        plannedOn: (worker: CellWorker) => number = () => 0,
    ): EligibleWorkers => {
        const { queue, stage: { step } } = candidate;
        const open = openTo(queue.service).filter(worker => !holder.isReserved(worker));
        return createEligibleWorkers({
            step,
            workers: rack === undefined ? open : open.filter(worker => worker.session.entry().rack === rack),
            health,
            describe: worker => describe(worker, candidate),
            countTasksOn: worker => tasksOfStageOn(worker, candidate) + plannedOn(worker),
            hasFailedOn,
            constraintOf,
        });
    };
    /** Logs what the waiting tasks of a step lack: room, trust in the workers that have it, or calm neighbours. */
    const logWait = (candidate: StageCandidate): void => {
        const { ledger, queue, stage: { step, number, record }, urgency, indices } = candidate;
        const now = performance.now();
        if (now - record.waitLoggedAt < waitLogInterval) {
            return;
        }
        record.waitLoggedAt = now;
        const fitting = [...workers.values()].filter(worker => mayStartOn(worker, queue.service, step));
        logger.info({
            job: ledger.workflow.id,
            step: number,
            tasks: indices.length,
            waited: Math.round(now - (record.readySince ?? now)),
            laxity: Math.round(urgency.laxity),
            workers: workers.size,
            withRoom: fitting.length,
            trusted: fitting.filter(worker => health.allowance(worker.session.id) > 0).length,
            isKeptForUrgent: fitting.length > 0 && !gate.mayStart(candidate),
        }, "step waits");
    };
    const startOne = (candidate: StageCandidate, index: number, worker: CellWorker, number?: number): void => {
        health.recordStart(worker.session.id);
        surveys.delete(worker.session.id);
        holder.recordStart(worker);
        gate.recordStart();
        const { ledger, stage, urgency } = candidate;
        logger.info({
            job: ledger.workflow.id,
            step: stage.number,
            index,
            worker: worker.session.id,
            image: stage.step.image,
            cpu: stage.step.cpu,
            waited: Math.round(performance.now() - (stage.record.readySince ?? 0)),
            laxity: Math.round(urgency.laxity),
            freeCpu: worker.room.freeCpu(),
            spareCpu: worker.room.spareCpu(),
        }, "start ordered");
        runController.start(ledger, stage, index, worker.session, number);
    };
    /** Workers for all members at once, or none. */
    const planGang = (candidate: StageCandidate, rack?: string): CellWorker[] | undefined => {
        const { step, record } = candidate.stage;
        const plan: CellWorker[] = [];
        const places = placesOf(candidate, rack, worker => plan.filter(planned => planned === worker).length);
        for (const index of record.waiting) {
            const worker = places.choose(taskOf(candidate, index));
            if (worker === undefined) {
                break;
            }
            worker.room.add(step);
            plan.push(worker);
            places.refresh(worker);
        }
        plan.forEach(worker => {
            worker.room.remove(step);
        });
        return plan.length === record.waiting.size ? plan : undefined;
    };
    const racks = (): string[] => [...new Set([...workers.values()].map(worker => worker.session.entry().rack))];
    const startGang = (candidate: StageCandidate): void => {
        const { step, record } = candidate.stage;
        if (record.waiting.size < step.count) {
            return;
        }
        const oneRack = step.needsOneRack
            ? racks().map(rack => planGang(candidate, rack)).find(plan => plan !== undefined)
            : undefined;
        const plan = oneRack ?? planGang(candidate);
        if (plan === undefined) {
            return;
        }
        const indices = [...record.waiting];
        const numbers = indices.map(index => runController.nextNumber(taskOf(candidate, index)));
        const number = Math.max(...numbers);
        indices.forEach((index, place) => {
            const worker = plan[place];
            if (worker !== undefined) {
                startOne(candidate, index, worker, number);
            }
        });
    };
    /** Keeps other starts from the workers on which tasks that last, and have been at work before, fit soonest. */
    const holdRoom = (candidate: StageCandidate, indices: readonly number[]): void => {
        const { queue, stage: { step }, urgency } = candidate;
        if (urgency.lasting !== "again" && urgency.lasting !== "first" || holder.isFull()) {
            return;
        }
        const able = openTo(queue.service).filter(worker =>
            (step.requiredLabel === undefined || worker.session.entry().labels.includes(step.requiredLabel))
            && (step.perWorkerLimit === undefined || tasksOfStageOn(worker, candidate) < step.perWorkerLimit)
            && health.allowance(worker.session.id) > 0
        );
        for (const index of indices) {
            const task = taskOf(candidate, index);
            if (constraintOf(task) === undefined) {
                holder.reserve(task, step, able);
            }
        }
    };
    /** What decides, besides its size, whether a step finds a worker. */
    const shapeOf = ({ queue, stage: { step } }: StageCandidate): string =>
        [queue.service, step.requiredLabel, step.usesSpareCpu, step.isLasting, step.image, step.accelerators].join(" ");
    const startTasks = (candidate: StageCandidate): void => {
        const { stage: { step }, indices } = candidate;
        const shape = shapeOf(candidate);
        const blocked = blockedSizes.get(shape);
        if (blocked !== undefined && step.cpu >= blocked.cpu && step.memory >= blocked.memory) {
            holdRoom(candidate, indices);
            return;
        }
        let places: EligibleWorkers | undefined;
        for (const [position, index] of indices.entries()) {
            if (!gate.mayStart(candidate)) {
                logWait(candidate);
                return;
            }
            places ??= placesOf(candidate);
            const worker = places.choose(taskOf(candidate, index));
            if (worker === undefined && constraintOf(taskOf(candidate, index)) !== undefined) {
                continue;
            }
            if (worker === undefined) {
                if (step.perWorkerLimit === undefined) {
                    blockedSizes.set(shape, step);
                }
                holdRoom(candidate, indices.slice(position));
                logWait(candidate);
                return;
            }
            startOne(candidate, index, worker);
            places.refresh(worker);
        }
    };
    return {
        runPass: () => {
            surveys.clear();
            openWorkers.clear();
            blockedSizes.clear();
            const waiting = candidates();
            gate.beginPass(waiting);
            holder.beginPass();
            for (const candidate of waiting) {
                if (candidate.stage.step.isGang) {
                    startGang(candidate);
                }
                else {
                    startTasks(candidate);
                }
            }
        },
    };
};
