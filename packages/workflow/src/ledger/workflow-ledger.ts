import type { CellId, IndexRanges } from "@jayfront/world";
import { hasIndex, rangesOf, unionRanges } from "@jayfront/world";

import type { Workflow, WorkflowState } from "../model/workflow.js";
import type { MemoryAllowance } from "../port/memory-allowance.js";
import { crashLimit } from "./crash-limit.js";
import { createProgressBudget } from "./progress-budget.js";
import { createProgressEstimate } from "./progress-estimate.js";
import { createStageTable } from "./stage-table.js";
import type { Stage } from "./stage.js";
import type { StepRecord } from "./step-record.js";
import type { TaskPosition } from "./task-position.js";
import type { TransferredTask } from "./transferred-task.js";
import type { StepProgress, WorkflowProgress } from "./workflow-progress.js";

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
     * the workflow is settled. Long-running steps are left out while any change is not stored. Of the occurrences in which
     * a step has not started, only the first ones are among them, as many as the bounds of a pass and the
     * memory for stages allow. `now` in Unix ms, `monotonicNow` in ms of the monotonic clock.
     */
    readonly openStages: (now: number, monotonicNow: number) => readonly Stage[];
    /** Indices of the waiting tasks of an open stage whose failures are stored, so that they may start. */
    readonly startable: (stage: Stage) => readonly number[];
    /**
     * Whether the end of a run of the task is sure to fit into the progress row, beside those of all runs that go on. If
     * no more do, tasks start one at a time: those that have failed, and the first one of each step.
     */
    readonly hasRoomForEnd: (stage: Stage, index: number) => boolean;
    /**
     * Stage of a task, a copy if its tasks have not been offered or are all done and stored; undefined where the workflow
     * has no such step or occurrence.
     */
    readonly stage: (position: TaskPosition) => Stage | undefined;
    /**
     * The stage of a step in the first occurrence, if it was opened or anything is known of its tasks; else none of them
     * has run.
     */
    readonly firstStage: (stepIndex: number) => Stage | undefined;
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
    /** Gives back the memory of its stages; to be called once the ledger is not used any more. */
    readonly release: () => void;
}

/** The ranges with their last indices in place of the first ones after them. */
const closedRanges = (ranges: IndexRanges): [number, number][] => ranges.map(([from, to]) => [from, to - 1]);
/** Whether the next holder needs more of the stage than that it is not done. */
const hasProgress = ({ record }: Stage): boolean =>
    record.done.size + record.failures.size + record.crashes.size + record.checkpoints.size + record.lastRuns.size > 0;

const isEmptyRow = ({ done, doneRanges, failures, crashes, checkpoints, lastRuns }: StepProgress): boolean =>
    [done, doneRanges, failures, crashes, checkpoints, lastRuns].every(entries => (entries?.length ?? 0) === 0);

/** Occurrences in which steps are done by the ranges of a progress row, by index of the step. */
const storedOccurrences = (
    finished: WorkflowProgress["finished"],
    occurrences: number,
): ReadonlyMap<number, IndexRanges> => {
    const ranges = new Map<number, IndexRanges[]>();
    for (const [step, first, last] of finished ?? []) {
        if (first >= 0 && first <= last && first < occurrences) {
            const ofStep = ranges.get(step) ?? [];
            ofStep.push([[first, Math.min(last + 1, occurrences)]]);
            ranges.set(step, ofStep);
        }
    }
    return new Map([...ranges].map(([step, ofStep]) => [step, unionRanges(...ofStep)]));
};

/** Bounds on what a ledger takes; without one, it is unbounded. */
export interface LedgerLimits {
    /** Memory of the stages of a schedule beside the first two of each step, which the workflow's own estimate contains. */
    readonly stageMemory?: MemoryAllowance | undefined;
    /** Bytes of the longest progress row. */
    readonly progressBytes?: number;
}

/** Creates the ledger of a workflow, from its stored progress where it has any. */
export const createWorkflowLedger = (
    workflow: Workflow,
    stored?: WorkflowProgress,
    { stageMemory, progressBytes = Infinity }: LedgerLimits = {},
): WorkflowLedger => {
    const { steps, queue, schedule } = workflow;
    const occurrences = Math.max(1, schedule?.repetitions ?? 1);
    const estimate = createProgressEstimate(workflow, occurrences);
    const budget = createProgressBudget(estimate, progressBytes);
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
    /** Stages that are done, until that is stored. */
    let unstoredEnds: Stage[] = [];

    const stages = createStageTable({
        workflow,
        occurrences,
        stageMemory,
        storedRevision: () => storedRevision,
        onFinishedRanges: budget.addFinishedRanges,
    });
    const { at: stageOf, known: knownStage, recorded: recordedStage, isDone: isStepDone } = stages;
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
            stages.close();
        }
    };
    /** Number of the ranges of indices that are done which end before the index or begin after it. */
    const countNeighbours = ({ done }: Stage["record"], index: number): number =>
        (done.has(index - 1) ? 1 : 0) + (done.has(index + 1) ? 1 : 0);
    /** Sets or deletes the failed runs of a task, or its crashes; `entries` are those of `record`. */
    const setFailed = <Runs extends Iterable<number | readonly [run: number, weight: number]>>(
        record: StepRecord,
        entries: Map<number, Runs>,
        index: number,
        runs?: Runs,
    ): void => {
        const earlier = entries.get(index);
        record.failureBytes -= earlier === undefined ? 0 : estimate.failedTaskBytes(earlier);
        if (runs === undefined) {
            entries.delete(index);
        }
        else {
            record.failureBytes += estimate.failedTaskBytes(runs);
            entries.set(index, runs);
        }
    };
    const markDone = (stage: Stage, index: number): void => {
        budget.track(stage, () => {
            addDone(stage, index);
        });
    };
    const addDone = (stage: Stage, index: number): void => {
        const { record, step } = stage;
        const isNew = !record.done.has(index);
        record.doneRanges += isNew ? 1 - countNeighbours(record, index) : 0;
        record.done.add(index);
        record.waiting.delete(index);
        record.checkpoints.delete(index);
        setFailed(record, record.failures, index);
        setFailed(record, record.crashes, index);
        record.failedAtRevisions.delete(index);
        if (isNew && record.done.size === step.count) {
            remainingSteps -= 1;
            stages.markDone(stage);
        }
    };
    const addTransfer = (task: TransferredTask, cell: CellId): void => {
        const stage = recordedStage(task);
        if (stage !== undefined) {
            budget.track(stage, () => {
                stage.record.waiting.delete(task.index);
                stage.record.transferred.add(task.index);
            });
        }
        budget.addTransfers(1);
        transfers.set(cell, [...transfers.get(cell) ?? [], task]);
    };
    /** Index under which failures and crashes are counted. */
    const countedIndex = ({ step }: Stage, { index }: Pick<TaskPosition, "index">): number => step.isGang ? 0 : index;
    const crashWeight = (position: TaskPosition): number => {
        const stage = knownStage(position);
        const weights = stage?.record.crashes.get(countedIndex(stage, position));
        return [...weights?.values() ?? []].reduce((sum, weight) => sum + weight, 0);
    };
    const isTransferred = (position: TaskPosition): boolean =>
        knownStage(position)?.record.transferred.has(position.index) ?? false;
    const isDirty = (): boolean => storedRevision < revision;
    const markRangeDone = (stage: Stage, first: number, last: number): void => {
        for (let index = first; index <= Math.min(last, stage.step.count - 1); index += 1) {
            markDone(stage, index);
        }
    };

    for (const [step, finished] of storedOccurrences(stored?.finished, occurrences)) {
        const first = hasIndex(finished, 0) ? recordedStage({ occurrence: 0, step }) : undefined;
        if (first !== undefined) {
            markRangeDone(first, 0, first.step.count - 1);
        }
        remainingSteps -= stages.addDone(step, finished);
    }
    for (const row of stored?.steps ?? []) {
        // Rows of earlier releases name all stages that were open.
        const stage = isEmptyRow(row) ? undefined : recordedStage(row);
        if (stage !== undefined) {
            row.done.forEach(index => {
                markDone(stage, index);
            });
            row.doneRanges?.forEach(([first, last]) => {
                markRangeDone(stage, first, last);
            });
            budget.track(stage, () => {
                row.failures.forEach(([index, runs]) => {
                    setFailed(stage.record, stage.record.failures, index, new Set(runs));
                });
                row.crashes.forEach(([index, runs]) => {
                    setFailed(stage.record, stage.record.crashes, index, new Map(runs));
                });
                row.checkpoints.forEach(([index, checkpoint]) => stage.record.checkpoints.set(index, checkpoint));
                row.lastRuns.forEach(([index, lastRun]) => stage.record.lastRuns.set(index, lastRun));
            });
            if (isStepDone(stage.occurrence, stage.stepIndex)) {
                stages.drop(stage);
            }
        }
    }
    for (const { cell, tasks } of stored?.transfers ?? []) {
        tasks.forEach(task => {
            addTransfer(task, cell);
        });
    }
    stages.openLoaded();
    return {
        workflow,
        stage: stageOf,
        firstStage: stages.first,
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
            // Which cell runs a long-running task is among the changes to be stored.
            const open = stages.open(now, !isDirty());
            open.forEach(({ record }) => {
                record.readySince ??= monotonicNow;
            });
            return open;
        },
        startable: stage => {
            // Ends of other tasks of the workflow may come without a pause, so that it always has changes to store.
            const { waiting } = stage.record;
            return [...waiting].filter(index =>
                (stage.record.failedAtRevisions.get(countedIndex(stage, { index })) ?? 0) <= storedRevision
            );
        },
        hasRoomForEnd: (stage, index) => {
            const { step: { isLasting }, record, occurrence, stepIndex } = stage;
            const isRetry = record.failures.has(countedIndex(stage, { index }));
            if (isLasting || budget.hasRoom(stage, isRetry)) {
                return true;
            }
            const [firstWaiting] = record.waiting;
            const isFirst = occurrence === stages.firstOpen(stepIndex) && index === firstWaiting;
            return budget.isIdle() && (isFirst || isRetry);
        },
        isDone: position => {
            const known = knownStage(position);
            return known === undefined
                ? position.index < (steps[position.step]?.count ?? 0) && isStepDone(position.occurrence, position.step)
                : known.record.done.has(position.index);
        },
        recordStart: position => {
            const stage = recordedStage(position);
            if (stage !== undefined) {
                budget.track(stage, () => {
                    stage.record.waiting.delete(position.index);
                });
                stage.record.started.add(position.index);
                stage.record.lastEnds.delete(position.index);
            }
            hasStarted = true;
        },
        markWaiting: position => {
            const stage = recordedStage(position);
            if (stage !== undefined && !stage.record.done.has(position.index) && !isTransferred(position)) {
                budget.track(stage, () => {
                    stage.record.waiting.add(position.index);
                });
                stage.record.lastEnds.set(position.index, performance.now());
            }
        },
        recordDone: position => {
            const stage = recordedStage(position);
            const isFirstEnd = !isStepDone(position.occurrence, position.step);
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
            if (isFirstEnd && isStepDone(position.occurrence, position.step)) {
                unstoredEnds.push(stage);
            }
        },
        recordFailure: (position, run) => {
            const stage = recordedStage(position);
            if (stage === undefined || stage.step.isLasting) {
                return;
            }
            const index = countedIndex(stage, position);
            const earlier = stage.record.failures.get(index);
            if (earlier?.has(run) === true) {
                return;
            }
            const runs = new Set([...earlier ?? [], run]);
            budget.track(stage, () => {
                setFailed(stage.record, stage.record.failures, index, runs);
            });
            isFailed ||= runs.size >= queue.maxAttempts;
            raiseRevision();
            stage.record.failedAtRevisions.set(index, revision);
        },
        recordCrash: (position, run, weight) => {
            const stage = recordedStage(position);
            if (stage === undefined || stage.record.done.has(position.index)) {
                return;
            }
            const index = countedIndex(stage, position);
            const weights = stage.record.crashes.get(index) ?? new Map<number, number>();
            budget.track(stage, () => {
                setFailed(stage.record, stage.record.crashes, index, new Map([...weights, [run, weight]]));
            });
            isFailed ||= crashWeight(position) >= crashLimit;
            raiseRevision();
            stage.record.failedAtRevisions.set(index, revision);
        },
        crashWeight,
        clearCrashes: position => {
            const stage = knownStage(position);
            if (stage !== undefined) {
                budget.track(stage, () => {
                    setFailed(stage.record, stage.record.crashes, countedIndex(stage, position));
                });
            }
        },
        recordCheckpoint: (position, checkpoint) => {
            recordedStage(position)?.record.checkpoints.set(position.index, checkpoint);
        },
        completeTakeover: () => {
            for (const { record } of stages.lasting()) {
                if (record.started.size > 0) {
                    record.waiting.forEach(index => record.started.add(index));
                }
            }
        },
        absentTasks: () =>
            isSettled()
                ? []
                : stages.lasting().flatMap(({ occurrence, stepIndex, record }) =>
                    [...record.waiting].filter(index => record.started.has(index))
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
            const stage = knownStage(task);
            if (stage !== undefined && remaining.length < tasks.length) {
                const { record } = stage;
                transfers.set(cell, remaining);
                budget.addTransfers(-1);
                budget.track(stage, () => {
                    record.transferred.delete(task.index);
                    record.lastRuns.set(task.index, task.lastRun);
                    record.waiting.add(task.index);
                });
                record.started.add(task.index);
                raiseRevision();
            }
        },
        returned: () =>
            stages.allKnown().flatMap(({ occurrence, stepIndex, record }) =>
                [...record.lastRuns].map(([index, lastRun]) => ({ occurrence, step: stepIndex, index, lastRun }))
            ),
        recordDeparture: position => {
            const stage = recordedStage(position);
            if (stage !== undefined) {
                markDone(stage, position.index);
            }
        },
        recordArrival: position => {
            const stage = recordedStage(position);
            if (stage?.record.done.has(position.index) === true) {
                if (isStepDone(stage.occurrence, stage.stepIndex)) {
                    remainingSteps += 1;
                    stages.markUndone(stage);
                }
                budget.track(stage, () => {
                    stage.record.done.delete(position.index);
                    stage.record.doneRanges -= 1 - countNeighbours(stage.record, position.index);
                    stage.record.waiting.add(position.index);
                });
                stage.record.started.add(position.index);
            }
        },
        isTransferred,
        transfers: () => transfers,
        isDirty,
        revision: () => revision,
        markStored: upTo => {
            storedRevision = Math.max(storedRevision, upTo);
            const isNewlyStored = ({ record }: Stage): boolean => record.doneAtRevision <= storedRevision;
            const newlyStored = unstoredEnds.filter(isNewlyStored);
            unstoredEnds = unstoredEnds.filter(stage => !isNewlyStored(stage));
            newlyStored.forEach(stage => {
                stages.drop(stage);
                stages.openDependents(stage);
            });
        },
        progress: () => ({
            isCancelled,
            isFailed,
            hasStarted,
            steps: stages.allKnown().filter(stage =>
                !isStepDone(stage.occurrence, stage.stepIndex) && hasProgress(stage)
            )
                .map(({ occurrence, stepIndex, record }) => ({
                    occurrence,
                    step: stepIndex,
                    done: [],
                    doneRanges: closedRanges(rangesOf(record.done)),
                    failures: [...record.failures].map(([index, runs]) => [index, [...runs]]),
                    crashes: [...record.crashes].map(([index, weights]) => [index, [...weights]]),
                    checkpoints: [...record.checkpoints],
                    lastRuns: [...record.lastRuns],
                })),
            finished: [...steps.keys()].flatMap(step =>
                closedRanges(stages.doneOccurrences(step)).map(([first, last]): [number, number, number] => [
                    step,
                    first,
                    last,
                ])
            ),
            transfers: [...transfers].filter(([, tasks]) => tasks.length > 0)
                .map(([cell, tasks]) => ({ cell, tasks })),
        }),
        release: stages.release,
    };
};
