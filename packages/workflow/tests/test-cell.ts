import { createWorkerHealth } from "@jayfront/policy";
import type { FailureDomainId, JobId, WorkerId } from "@jayfront/world";
import pino from "pino";
import { Registry } from "prom-client";

import type { CellWorker, CellWorkers } from "../src/cell/cell-workers.js";
import type { CpuRoom } from "../src/cell/cpu-room.js";
import { createRun } from "../src/cell/create-run.js";
import type { InterferenceController } from "../src/cell/interference-controller.js";
import { createInterferenceController } from "../src/cell/interference-controller.js";
import { createNearWaits } from "../src/cell/near-waits.js";
import type { ReplacementPlaces } from "../src/cell/replacement-places.js";
import { createReplacementPlaces } from "../src/cell/replacement-places.js";
import { createResourceAccount } from "../src/cell/resource-account.js";
import type { RunController } from "../src/cell/run-controller.js";
import type { RunRegistry } from "../src/cell/run-registry.js";
import { createRunRegistry } from "../src/cell/run-registry.js";
import type { Run } from "../src/cell/run.js";
import { createSpeedLimits } from "../src/cell/speed-limits.js";
import type { StageScheduler } from "../src/cell/stage-scheduler.js";
import { createStageScheduler } from "../src/cell/stage-scheduler.js";
import type { UnansweredStarts } from "../src/cell/unanswered-starts.js";
import type { WorkerSession } from "../src/cell/worker-session.js";
import type { WorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import type { Queue } from "../src/model/queue.js";
import type { Step } from "../src/model/step.js";
import type { TaskName } from "../src/model/task-name.js";
import { taskName } from "../src/model/task-name.js";
import type { WorkerEntry } from "../src/model/worker-entry.js";
import type { Workflow } from "../src/model/workflow.js";
import type { DomainRamp } from "../src/policy/domain-ramp.js";
import { createDomainRamp } from "../src/policy/domain-ramp.js";
import { createInterferenceModel } from "../src/policy/interference-model.js";
import type { WorkerSpeeds } from "../src/policy/worker-speeds.js";
import { createWorkerSpeeds } from "../src/policy/worker-speeds.js";
import type { WorkflowMetrics } from "../src/workflow-metrics.js";
import { createWorkflowMetrics } from "../src/workflow-metrics.js";
import { testQueue } from "./test-queue.js";

/** A cell's scheduler with its workers and runs, without communication with workers. */
export interface TestCell {
    readonly scheduler: StageScheduler;
    readonly metrics: WorkflowMetrics;
    readonly runRegistry: RunRegistry;
    readonly workers: CellWorkers;
    /**
     * Number of summaries of workers, and of look-ups of worker deadlines, of interference between images and of
     * expected run times.
     */
    readonly counts: { summaries: number; deadlines: number; interferences: number; runTimes: number; };
    /** Lines of the scheduler's log with this message, oldest first. */
    readonly logged: (message: string) => readonly Readonly<Record<string, unknown>>[];
    /** Adds a workflow; properties that are not given have the defaults of `testQueue` and `createStep`. */
    readonly submit: (
        queue: Partial<Queue>,
        steps: readonly Partial<Step>[],
        changes?: Partial<Workflow>,
    ) => WorkflowLedger;
    /** Ends a run; its task is done, or waits again if the run was lost. */
    readonly endRun: (run: Run, outcome: "done" | "lost") => void;
    readonly replacementPlaces: ReplacementPlaces;
    /** Tasks that may start nowhere for now, as after an unanswered start. */
    readonly constrainedTasks: Set<TaskName>;
    /** Lets the worker drain: it takes no new tasks. */
    readonly drainWorker: (worker: WorkerId) => void;
    readonly domainRamp: DomainRamp;
    /** Removes the worker from the cell, but not its runs. */
    readonly removeWorker: (worker: WorkerId) => void;
}

/** Options of {@link createTestCell}. */
export interface TestCellOptions {
    readonly workers: number;
    /** Millicores of each worker. */
    readonly cpu: number;
    /** Expected run time of all tasks in milliseconds. */
    readonly runTime: number;
    /** Starts that a worker gets within 2 s without a success; default 1,000. */
    readonly startLimit?: number;
    /** See `UnansweredStarts.constraintOf`; no task is constrained by default. */
    readonly constraintOf?: UnansweredStarts["constraintOf"];
    /** Rack of the worker with this number; all are on `r-1` by default. */
    readonly rackOf?: (number: number) => string;
    /** See `NearWaitsOptions.farRunFactor`; 1 by default. */
    readonly farRunFactor?: number;
    /** Milliseconds of a pass; unlimited by default. */
    readonly passTime?: number;
    /** Processor time of the other cells; there are none by default. */
    readonly otherCellsRoom?: CpuRoom;
    /** Called at each start and at each look-up of an expected run time. */
    readonly onWork?: () => void;
    /** Speeds of the workers; all are normal by default. */
    readonly speeds?: WorkerSpeeds;
}

const openSession = (id: WorkerId, cpu: number, rack: string, deadline: () => number): WorkerSession => {
    let entry: WorkerEntry = {
        id,
        address: `${id}:1`,
        service: testQueue.service,
        failureDomain: "east-a" as FailureDomainId,
        rack,
        labels: [],
        capacity: { cpu, memory: 64_000, accelerators: 0 },
        isDraining: false,
        bornAt: 0,
    };
    const session: Partial<WorkerSession> = {
        id,
        entry: () => entry,
        setEntry: next => {
            entry = next ?? entry;
        },
        contact: () => "known",
        deadline,
    };
    return session as WorkerSession;
};
const createWorker = (id: WorkerId, cpu: number, rack: string, deadline: () => number): CellWorker => ({
    session: openSession(id, cpu, rack, deadline),
    resources: createResourceAccount({ cpu, memory: 64_000, accelerators: 0 }),
    isOnRoster: true,
    unlistedSince: undefined,
    drainingSince: undefined,
    isDomainOpen: () => true,
    isEvacuated: () => false,
    stop: () => undefined,
});

/** Creates a cell in which starts succeed immediately. */
export const createTestCell = (
    {
        workers: count,
        cpu,
        runTime,
        startLimit = 1_000,
        constraintOf = () => undefined,
        rackOf = () => "r-1",
        farRunFactor = 1,
        passTime = Infinity,
        otherCellsRoom = { freeCpu: 0, capacityCpu: 0 },
        onWork = () => undefined,
        speeds = createWorkerSpeeds(),
    }: TestCellOptions,
): TestCell => {
    const lines: Readonly<Record<string, unknown>>[] = [];
    const logger = pino({}, {
        write: line => {
            lines.push(JSON.parse(line) as Record<string, unknown>);
        },
    });
    const ids = [...Array(count).keys()].map(number => `w-${String(number)}` as WorkerId);
    const counts = { summaries: 0, deadlines: 0, interferences: 0, runTimes: 0 };
    const deadline = (): number => {
        counts.deadlines += 1;
        return 1;
    };
    const workers: CellWorkers = new Map(
        ids.map((id, number) => [id, createWorker(id, cpu, rackOf(number), deadline)]),
    );
    const runRegistry = createRunRegistry();
    const ledgers: WorkflowLedger[] = [];
    const model = createInterferenceModel();
    const countedInterference: typeof model.interference = (serving, spare) => {
        counts.interferences += 1;
        return model.interference(serving, spare);
    };
    const controller = createInterferenceController({
        model: { ...model, interference: countedInterference },
        throttle: () => undefined,
        logger,
    });
    const interference: InterferenceController = {
        ...controller,
        summarizeServing: (worker, runs, expected) => {
            counts.summaries += 1;
            return controller.summarizeServing(worker, runs, expected);
        },
    };
    const start: RunController["start"] = (ledger, { occurrence, stepIndex, step }, index, session) => {
        const position = { job: ledger.workflow.id, occurrence, step: stepIndex, index };
        const origin = { task: taskName(position), position, number: 1, worker: session.id, ledger, step };
        const run = createRun({ ...origin, checkpoint: "" });
        run.phase = "running";
        runRegistry.add(run);
        ledger.recordStart(position);
        workers.get(session.id)?.resources.add(step);
        onWork();
    };
    const runController: Partial<RunController> = { start, nextNumber: () => 1 };
    const replacementPlaces = createReplacementPlaces();
    const constrainedTasks = new Set<TaskName>();
    const metrics = createWorkflowMetrics(new Registry());
    const domainRamp = createDomainRamp();
    const predictRunTime = (): number => {
        counts.runTimes += 1;
        onWork();
        return runTime;
    };
    const nearWaits = createNearWaits({ workers, runTime: predictRunTime, farRunFactor, metrics, logger });
    const scheduler = createStageScheduler({
        ledgers: () => ledgers,
        workers,
        runRegistry,
        runController: runController as RunController,
        runTime: predictRunTime,
        speedLimits: createSpeedLimits({ speeds, runRegistry, runTime: predictRunTime }),
        domainRamp,
        health: createWorkerHealth({ initialStartLimit: startLimit }),
        logger,
        queueOf: ledger => ledger.workflow.queue,
        accountedTasks: () => new Set(),
        isHeldBack: () => false,
        hasFailedOn: () => false,
        constraintOf: task => constrainedTasks.has(task) ? "nowhere" : constraintOf(task),
        replacementPlaces,
        workerCrashes: { isRecent: () => false },
        interference,
        nearWaits,
        passTime,
        otherCellsRoom: () => otherCellsRoom,
    });
    return {
        scheduler,
        metrics,
        runRegistry,
        workers,
        counts,
        logged: message => lines.filter(line => line["msg"] === message),
        submit: (queue, steps, changes = {}) => {
            const ledger = createWorkflowLedger({
                id: ledgers.length.toString(16).padStart(16, "0") as JobId,
                queue: { ...testQueue, ...queue },
                payload: "",
                steps: steps.map(createStep),
                acceptedAt: Date.now(),
                ...changes,
            });
            ledgers.push(ledger);
            return ledger;
        },
        endRun: (run, outcome) => {
            runRegistry.remove(run);
            workers.get(run.worker)?.resources.remove(run.step);
            nearWaits.recordEnd({ run, outcome });
            if (outcome === "done") {
                run.ledger.recordDone(run.position);
                run.ledger.markStored(run.ledger.revision());
            }
            else {
                run.ledger.markWaiting(run.position);
            }
        },
        replacementPlaces,
        constrainedTasks,
        domainRamp,
        drainWorker: id => {
            const worker = workers.get(id);
            if (worker !== undefined) {
                worker.session.setEntry({ ...worker.session.entry(), isDraining: true });
                worker.drainingSince = performance.now();
            }
        },
        removeWorker: worker => {
            workers.delete(worker);
        },
    };
};
