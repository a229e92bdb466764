import type { CellId } from "@jayfront/world";

import type { Step } from "../model/step.js";
import type { TaskNameParts } from "../model/task-name.js";
import type { Workflow, WorkflowState } from "../model/workflow.js";
import { crashLimit } from "./crash-limit.js";
import type { StepRecord } from "./step-record.js";
import { createStepRecord } from "./step-record.js";
import type { TransferredTask } from "./transferred-task.js";
import type { WorkflowProgress } from "./workflow-progress.js";

/** One step in one occurrence of a workflow, with the state of its tasks. */
export interface Stage {
    /** Index of the occurrence in the schedule, from 0. */
    readonly occurrence: number;
    /** Index of the step in the workflow, from 0. */
    readonly stepIndex: number;
    readonly step: Step;
    readonly record: StepRecord;
}

/** Position of a task in its workflow. */
export type TaskPosition = Omit<TaskNameParts, "job">;

/**
 * Progress of one workflow: which tasks wait, have run and are done. A change counts as stored once its revision, or a
 * later one, was passed to `markStored`.
 */
export interface WorkflowLedger {
    readonly workflow: Workflow;
    /** State to report to submitters: as `latestState`, but a final state is reported only once it is stored. */
    readonly state: () => WorkflowState;
    /** State by all recorded changes, stored or not. */
    readonly latestState: () => WorkflowState;
    /** Whether the latest state is final: completed, failed or cancelled. */
    readonly isSettled: () => boolean;
    /**
     * Stages whose tasks may run now: due, not done, and with all steps that they depend on done and stored. Empty once
     * the workflow is settled. Long-running steps are left out while any change is not stored. Further stages open once
     * fewer than `maxOpenTasks` tasks wait. `now` in Unix ms, `monotonicNow` in ms of the monotonic clock.
     */
    readonly openStages: (now: number, monotonicNow: number) => readonly Stage[];
    /** Indices of the waiting tasks of an open stage whose failures are stored, so that they may start. */
    readonly startable: (stage: Stage) => readonly number[];
    /** Stage of a task; undefined where the workflow has no such step or occurrence. */
    readonly stage: (position: TaskPosition) => Stage | undefined;
    /** As `stage`, but only if anything is known of its tasks; else none of them has run. Takes no memory for the stage. */
    readonly knownStage: (occurrence: number, stepIndex: number) => Stage | undefined;
    readonly isDone: (position: TaskPosition) => boolean;
    /** Records that a run of the task has started. */
    readonly recordStart: (position: TaskPosition) => void;
    /** Records that the task has no run any more; it waits again unless it is done. */
    readonly markWaiting: (position: TaskPosition) => void;
    /** Records that the task is done, and with it all members of a gang; ignored for long-running tasks. */
    readonly recordDone: (position: TaskPosition) => void;
    /**
     * Records a failed run, once for each number `run`; ignored for long-running tasks. The workflow fails when one
     * task has `Queue.maxAttempts` failed runs; those of a gang count together.
     */
    readonly recordFailure: (position: TaskPosition, run: number) => void;
    /**
     * Records that a worker crashed under a run, with one of `crashWeights`, once for each number `run`. The workflow
     * fails when the weights of a task reach `crashLimit`; those of a gang count together.
     */
    readonly recordCrash: (position: TaskPosition, run: number, weight: number) => void;
    /** Sum of the weights of the crashes under a task; 0 if it is not suspected to crash workers. */
    readonly crashWeight: (position: TaskPosition) => number;
    /** Records that the task does not crash its worker, which clears it of earlier crashes. */
    readonly clearCrashes: (position: TaskPosition) => void;
    /** Records the newest checkpoint of the task, which is stored with the next change that raises the revision. */
    readonly recordCheckpoint: (position: TaskPosition, checkpoint: string) => void;
    /**
     * Records that all runs of earlier holders are known: long-running tasks without one count as having run, which the
     * rows do not tell, if others of their step have.
     */
    readonly completeTakeover: () => void;
    /** The long-running tasks that have run, as far as this holder knows, and wait to run again. */
    readonly absentTasks: () => readonly TaskPosition[];
    readonly recordCancellation: () => void;
    /** Records that `cell` runs the waiting long-running task from now on; its runs there have higher numbers. */
    readonly recordTransfer: (task: TransferredTask, cell: CellId) => void;
    /**
     * Records that `cell` has given the task back, with the number of its last run there; it waits here again. Ignored
     * unless `cell` runs the task.
     */
    readonly recordReturn: (task: TransferredTask, cell: CellId) => void;
    /** Tasks that other cells have given back; their runs here have numbers above their last one there. */
    readonly returned: () => readonly TransferredTask[];
    /** Records that a task which counted as done here, since another cell ran it, waits to be run here instead. */
    readonly recordArrival: (position: TaskPosition) => void;
    /** Records that a task which arrived here is given back; it counts as done here again. */
    readonly recordDeparture: (position: TaskPosition) => void;
    /** Whether another cell runs the task. */
    readonly isTransferred: (position: TaskPosition) => boolean;
    /** The tasks that other cells run, by cell; empty lists of cells that have given all of them back. */
    readonly transfers: () => ReadonlyMap<CellId, readonly TransferredTask[]>;
    /** Whether there are changes that are not stored. */
    readonly isDirty: () => boolean;
    /** Contents of the progress row to store. */
    readonly progress: () => WorkflowProgress;
    /** Marks the changes up to `revision` as stored. */
    readonly markStored: (revision: number) => void;
    /** Increases with each change that has to be stored: an end, a failure, a transfer or the cancellation. */
    readonly revision: () => number;
}

/** Waiting tasks of a workflow up to which further stages open: each of them takes memory and time in each pass. */
const maxOpenTasks = 20_000;

const stageKey = (occurrence: number, stepIndex: number): string => `${String(occurrence)}.${String(stepIndex)}`;

/** Creates the ledger of a workflow, from its stored progress where it has any. */
export const createWorkflowLedger = (workflow: Workflow, stored?: WorkflowProgress): WorkflowLedger => {
    const { steps, queue, schedule } = workflow;
    const occurrences = Math.max(1, schedule?.repetitions ?? 1);
    const stages = new Map<string, Stage>();
    const transfers = new Map<CellId, TransferredTask[]>();
    let isCancelled = stored?.isCancelled ?? false;
    let isFailed = stored?.isFailed ?? false;
    let hasStarted = stored?.hasStarted ?? false;
    let revision = 0;
    let storedRevision = 0;
    /** Revision that made the latest state final. */
    let settledAtRevision: number | undefined;
    /** Number of steps that are not done, over all occurrences. */
    let remainingSteps = occurrences * steps.length;
    /** Occurrences that have become due and are not known to be done; the next ones are due in their order. */
    let dueOccurrences: number[] = [];
    let nextOccurrence = 0;

    const stageAt = (occurrence: number, stepIndex: number): Stage | undefined => {
        const key = stageKey(occurrence, stepIndex);
        const known = stages.get(key);
        const step = steps[stepIndex];
        if (known !== undefined || step === undefined || occurrence < 0 || occurrence >= occurrences) {
            return known;
        }
        const created = { occurrence, stepIndex, step, record: createStepRecord(step.count) };
        stages.set(key, created);
        return created;
    };
    const stageOf = ({ occurrence, step }: TaskPosition): Stage | undefined => stageAt(occurrence, step);
    const isStepDone = (occurrence: number, stepIndex: number): boolean =>
        stages.get(stageKey(occurrence, stepIndex))?.record.done.size === steps[stepIndex]?.count;
    const isSettled = (): boolean => isCancelled || isFailed || remainingSteps === 0;
    const latestState = (): WorkflowState => {
        if (isCancelled) {
            return "cancelled";
        }
        if (isFailed) {
            return "failed";
        }
        return remainingSteps === 0 ? "completed" : hasStarted ? "running" : "queued";
    };
    const raiseRevision = (): void => {
        revision += 1;
        if (isSettled()) {
            settledAtRevision ??= revision;
        }
    };
    const markDone = (stage: Stage, index: number): void => {
        const { record, step } = stage;
        const isNew = !record.done.has(index);
        record.done.add(index);
        record.waiting.delete(index);
        record.checkpoints.delete(index);
        record.failures.delete(index);
        record.crashes.delete(index);
        record.failedAtRevisions.delete(index);
        if (isNew && record.done.size === step.count) {
            remainingSteps -= 1;
        }
    };
    const addTransfer = (task: TransferredTask, cell: CellId): void => {
        const record = stageAt(task.occurrence, task.step)?.record;
        record?.waiting.delete(task.index);
        record?.transferred.add(task.index);
        transfers.set(cell, [...transfers.get(cell) ?? [], task]);
    };
    /** Index under which failures and crashes are counted. */
    const countedIndex = ({ step }: Stage, { index }: Pick<TaskPosition, "index">): number => step.isGang ? 0 : index;
    const crashWeight = (position: TaskPosition): number => {
        const stage = stageOf(position);
        const weights = stage?.record.crashes.get(countedIndex(stage, position));
        return [...weights?.values() ?? []].reduce((sum, weight) => sum + weight, 0);
    };
    const isTransferred = (position: TaskPosition): boolean =>
        stageOf(position)?.record.transferred.has(position.index) ?? false;
    const isDue = (occurrence: number, now: number): boolean =>
        schedule === undefined || now >= schedule.firstDue + occurrence * schedule.interval;
    /** Whether the next holder will know that the step is done; if not, it would run the step again. */
    const isStepStored = (occurrence: number, stepIndex: number): boolean =>
        isStepDone(occurrence, stepIndex)
        && (stages.get(stageKey(occurrence, stepIndex))?.record.doneAtRevision ?? 0) <= storedRevision;
    const isDirty = (): boolean => storedRevision < revision;
    const isOpen = (occurrence: number, stepIndex: number): boolean =>
        !isStepDone(occurrence, stepIndex)
        // Which cell runs a long-running task is among the changes to be stored.
        && !(isDirty() && steps[stepIndex]?.isLasting === true)
        && (steps[stepIndex]?.after ?? []).every(earlier => isStepStored(occurrence, earlier));

    const isOccurrenceDone = (occurrence: number): boolean =>
        steps.every((...[, stepIndex]) => isStepDone(occurrence, stepIndex));
    const markRangeDone = (stage: Stage, first: number, last: number): void => {
        for (let index = first; index <= Math.min(last, stage.step.count - 1); index += 1) {
            markDone(stage, index);
        }
    };

    for (const [step, first, last] of stored?.finished ?? []) {
        for (let occurrence = first; occurrence <= Math.min(last, occurrences - 1); occurrence += 1) {
            const stage = stageAt(occurrence, step);
            if (stage !== undefined) {
                markRangeDone(stage, 0, stage.step.count - 1);
            }
        }
    }
    for (const row of stored?.steps ?? []) {
        const stage = stageAt(row.occurrence, row.step);
        if (stage !== undefined) {
            row.done.forEach(index => {
                markDone(stage, index);
            });
            row.doneRanges?.forEach(([first, last]) => {
                markRangeDone(stage, first, last);
            });
            row.failures.forEach(([index, runs]) => stage.record.failures.set(index, new Set(runs)));
            row.crashes.forEach(([index, runs]) => stage.record.crashes.set(index, new Map(runs)));
            row.checkpoints.forEach(([index, checkpoint]) => stage.record.checkpoints.set(index, checkpoint));
            row.lastRuns.forEach(([index, lastRun]) => stage.record.lastRuns.set(index, lastRun));
        }
    }
    for (const { cell, tasks } of stored?.transfers ?? []) {
        tasks.forEach(task => {
            addTransfer(task, cell);
        });
    }
    return {
        workflow,
        stage: stageOf,
        knownStage: (occurrence, stepIndex) => stages.get(stageKey(occurrence, stepIndex)),
        isSettled,
        latestState,
        state: () => {
            const isStored = settledAtRevision === undefined || storedRevision >= settledAtRevision;
            return isStored ? latestState() : hasStarted ? "running" : "queued";
        },
        openStages: (now, monotonicNow) => {
            if (isSettled()) {
                return [];
            }
            const open: Stage[] = [];
            let waitingTasks = 0;
            const openOccurrence = (occurrence: number): void => {
                for (const stepIndex of steps.keys()) {
                    const stage = waitingTasks < maxOpenTasks && isOpen(occurrence, stepIndex)
                        ? stageAt(occurrence, stepIndex)
                        : undefined;
                    if (stage !== undefined) {
                        stage.record.readySince ??= monotonicNow;
                        waitingTasks += stage.record.waiting.size;
                        open.push(stage);
                    }
                }
            };
            dueOccurrences = dueOccurrences.filter(occurrence => !isOccurrenceDone(occurrence));
            dueOccurrences.forEach(openOccurrence);
            while (waitingTasks < maxOpenTasks && nextOccurrence < occurrences && isDue(nextOccurrence, now)) {
                if (!isOccurrenceDone(nextOccurrence)) {
                    dueOccurrences.push(nextOccurrence);
                    openOccurrence(nextOccurrence);
                }
                nextOccurrence += 1;
            }
            return open;
        },
        startable: stage => {
            // Ends of other tasks of the workflow may come without a pause, so that it always has changes to store.
            const { waiting } = stage.record;
            return [...waiting].filter(index =>
                (stage.record.failedAtRevisions.get(countedIndex(stage, { index })) ?? 0) <= storedRevision
            );
        },
        isDone: position => stageOf(position)?.record.done.has(position.index) ?? false,
        recordStart: position => {
            const stage = stageOf(position);
            if (stage !== undefined) {
                stage.record.waiting.delete(position.index);
                stage.record.started.add(position.index);
                stage.record.lastEnds.delete(position.index);
            }
            hasStarted = true;
        },
        markWaiting: position => {
            const stage = stageOf(position);
            if (stage !== undefined && !stage.record.done.has(position.index) && !isTransferred(position)) {
                stage.record.waiting.add(position.index);
                stage.record.lastEnds.set(position.index, performance.now());
            }
        },
        recordDone: position => {
            const stage = stageOf(position);
            if (stage === undefined || stage.step.isLasting) {
                return;
            }
            // The members of a gang end together; the first report counts for all.
            const indices = stage.step.isGang ? [...Array(stage.step.count).keys()] : [position.index];
            indices.forEach(index => {
                markDone(stage, index);
            });
            raiseRevision();
            stage.record.doneAtRevision = revision;
        },
        recordFailure: (position, run) => {
            const stage = stageOf(position);
            if (stage === undefined || stage.step.isLasting) {
                return;
            }
            const index = countedIndex(stage, position);
            const runs = stage.record.failures.get(index) ?? new Set();
            if (runs.has(run)) {
                return;
            }
            stage.record.failures.set(index, runs.add(run));
            isFailed ||= runs.size >= queue.maxAttempts;
            raiseRevision();
            stage.record.failedAtRevisions.set(index, revision);
        },
        recordCrash: (position, run, weight) => {
            const stage = stageOf(position);
            if (stage === undefined || stage.record.done.has(position.index)) {
                return;
            }
            const index = countedIndex(stage, position);
            const weights = stage.record.crashes.get(index) ?? new Map<number, number>();
            stage.record.crashes.set(index, weights.set(run, weight));
            isFailed ||= crashWeight(position) >= crashLimit;
            raiseRevision();
            stage.record.failedAtRevisions.set(index, revision);
        },
        crashWeight,
        clearCrashes: position => {
            const stage = stageOf(position);
            stage?.record.crashes.delete(countedIndex(stage, position));
        },
        recordCheckpoint: (position, checkpoint) => {
            stageOf(position)?.record.checkpoints.set(position.index, checkpoint);
        },
        completeTakeover: () => {
            for (const { step, record } of stages.values()) {
                if (step.isLasting && record.started.size > 0) {
                    record.waiting.forEach(index => record.started.add(index));
                }
            }
        },
        absentTasks: () =>
            isSettled()
                ? []
                : [...stages.values()].filter(({ step }) => step.isLasting).flatMap((
                    { occurrence, stepIndex, record },
                ) => [...record.waiting].filter(index => record.started.has(index))
                    .map(index => ({ occurrence, step: stepIndex, index }))
                ),
        recordCancellation: () => {
            isCancelled = true;
            raiseRevision();
        },
        recordTransfer: (task, cell) => {
            addTransfer(task, cell);
            hasStarted = true;
            raiseRevision();
        },
        recordReturn: (task, cell) => {
            const tasks = transfers.get(cell) ?? [];
            const remaining = tasks.filter(({ occurrence, step, index }) =>
                occurrence !== task.occurrence || step !== task.step || index !== task.index
            );
            const record = stageOf(task)?.record;
            if (record !== undefined && remaining.length < tasks.length) {
                transfers.set(cell, remaining);
                record.transferred.delete(task.index);
                record.lastRuns.set(task.index, task.lastRun);
                record.waiting.add(task.index);
                record.started.add(task.index);
                raiseRevision();
            }
        },
        returned: () =>
            [...stages.values()].flatMap(({ occurrence, stepIndex, record }) =>
                [...record.lastRuns].map(([index, lastRun]) => ({ occurrence, step: stepIndex, index, lastRun }))
            ),
        recordDeparture: position => {
            const stage = stageOf(position);
            if (stage !== undefined) {
                markDone(stage, position.index);
            }
        },
        recordArrival: position => {
            const stage = stageOf(position);
            if (stage?.record.done.has(position.index) === true) {
                remainingSteps += stage.record.done.size === stage.step.count ? 1 : 0;
                if (position.occurrence < nextOccurrence && !dueOccurrences.includes(position.occurrence)) {
                    dueOccurrences.push(position.occurrence);
                }
                stage.record.done.delete(position.index);
                stage.record.waiting.add(position.index);
                stage.record.started.add(position.index);
            }
        },
        isTransferred,
        transfers: () => transfers,
        isDirty,
        revision: () => revision,
        markStored: upTo => {
            storedRevision = Math.max(storedRevision, upTo);
        },
        progress: () => ({
            isCancelled,
            isFailed,
            hasStarted,
            steps: [...stages.values()].map(({ occurrence, stepIndex, record }) => ({
                occurrence,
                step: stepIndex,
                done: [...record.done],
                failures: [...record.failures].map(([index, runs]) => [index, [...runs]]),
                crashes: [...record.crashes].map(([index, weights]) => [index, [...weights]]),
                checkpoints: [...record.checkpoints],
                lastRuns: [...record.lastRuns],
            })),
            transfers: [...transfers].filter(([, tasks]) => tasks.length > 0)
                .map(([cell, tasks]) => ({ cell, tasks })),
        }),
    };
};
