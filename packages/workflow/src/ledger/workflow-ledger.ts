import type { CellId, IndexRanges } from "@jayfront/world";
import {
    addIndex,
    countIndices,
    hasIndex,
    indicesOf,
    intersectRanges,
    rangesOf,
    subtractRanges,
    unionRanges,
} from "@jayfront/world";

import { estimateStageBytes } from "../model/estimate-stage-bytes.js";
import type { Step } from "../model/step.js";
import type { TaskNameParts } from "../model/task-name.js";
import type { Workflow, WorkflowState } from "../model/workflow.js";
import type { MemoryAllowance } from "../port/memory-allowance.js";
import { crashLimit } from "./crash-limit.js";
import { createProgressBudget } from "./progress-budget.js";
import { createProgressEstimate } from "./progress-estimate.js";
import type { StepRecord } from "./step-record.js";
import { createStepRecord } from "./step-record.js";
import type { TransferredTask } from "./transferred-task.js";
import type { StepProgress, WorkflowProgress } from "./workflow-progress.js";

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
     * the workflow is settled. Long-running steps are left out while any change is not stored. Of the occurrences in which
     * a step has not started, only the first ones are among them, as many as `maxOpenTasks`, `maxOpenStages` and the
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

/**
 * Waiting tasks of a workflow up to which further stages open, divided among the steps that may start: each of them takes
 * memory and time in each pass.
 */
const maxOpenTasks = 20_000;
/** As `maxOpenTasks`, in stages. A pass starts fewer tasks, so that the next one opens what the first ones leave. */
const maxOpenStages = 512;

/** The ranges with their last indices in place of the first ones after them. */
const closedRanges = (ranges: IndexRanges): [number, number][] => ranges.map(([from, to]) => [from, to - 1]);
/** Whether the next holder needs more of the stage than that it is not done. */
const hasProgress = ({ record }: Stage): boolean =>
    record.done.size + record.failures.size + record.crashes.size + record.checkpoints.size + record.lastRuns.size > 0;

const isEmptyRow = ({ done, doneRanges, failures, crashes, checkpoints, lastRuns }: StepProgress): boolean =>
    [done, doneRanges, failures, crashes, checkpoints, lastRuns].every(entries => (entries?.length ?? 0) === 0);

/** State of a step in all occurrences. */
interface StepState {
    readonly step: Step;
    readonly stepIndex: number;
    /** The steps that depend on this one. */
    readonly dependents: StepState[];
    /** Occurrences in which the step is done, stored or not. */
    finished: IndexRanges;
    /** Due occurrences in which the step may start and none of its tasks has; they are not among `known`. */
    ready: IndexRanges;
    /** Stages of the first occurrences of `ready`, in their order. */
    window: readonly Stage[];
    /** Stages with runs, failures or ends, by occurrence; those that are done and stored are dropped but for the first. */
    readonly known: Map<number, Stage>;
    /** Number of stages in memory that count against the allowance. */
    held: number;
}

/** Creates the states of the steps of a workflow, none of which may start yet. */
const createStepStates = (steps: readonly Step[]): readonly StepState[] => {
    const states = steps.map((step, stepIndex): StepState => ({
        step,
        stepIndex,
        dependents: [],
        finished: [],
        ready: [],
        window: [],
        known: new Map(),
        held: 0,
    }));
    for (const state of states) {
        state.step.after.forEach(earlier => states[earlier]?.dependents.push(state));
    }
    return states;
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
    const states = createStepStates(steps);
    const budget = createProgressBudget(createProgressEstimate(workflow, occurrences), progressBytes);
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
    /** Number of occurrences that have become due; they do so in their order. */
    let dueOccurrences = 0;
    /** Stages that are done, until that is stored. */
    let unstoredEnds: Stage[] = [];

    /** Changes the number of stages of a step in memory; the workflow's own estimate contains one beside the first. */
    const changeHeld = (state: StepState, change: number): void => {
        const excessBefore = Math.max(0, state.held - 1);
        state.held += change;
        const excess = Math.max(0, state.held - 1) - excessBefore;
        if (excess > 0) {
            stageMemory?.hold(excess * estimateStageBytes(state.step));
        }
        else if (excess < 0) {
            stageMemory?.giveBack(-excess * estimateStageBytes(state.step));
        }
    };
    /** Takes memory for one more stage of the step; false if none is left. */
    const takeStage = (state: StepState): boolean => {
        const isTaken = state.held === 0 || stageMemory?.take(estimateStageBytes(state.step)) !== false;
        state.held += isTaken ? 1 : 0;
        return isTaken;
    };
    /** Whether the workflow's own estimate contains the stage: those of long-running steps are never dropped. */
    const isReserved = ({ step }: StepState, occurrence: number): boolean => occurrence === 0 || step.isLasting;
    const createStage = ({ step, stepIndex }: StepState, occurrence: number): Stage => ({
        occurrence,
        stepIndex,
        step,
        record: createStepRecord(step.count),
    });
    /** State of the step, if the workflow has it and the occurrence. */
    const stateAt = (occurrence: number, stepIndex: number): StepState | undefined =>
        occurrence >= 0 && occurrence < occurrences ? states[stepIndex] : undefined;
    const offeredStage = ({ window }: StepState, occurrence: number): Stage | undefined =>
        window.find(stage => stage.occurrence === occurrence);
    const knownStage = ({ occurrence, step }: Pick<TaskPosition, "occurrence" | "step">): Stage | undefined =>
        stateAt(occurrence, step)?.known.get(occurrence);
    /** The stage, to record something of its tasks; undefined also if it is done and stored. */
    const recordedStage = ({ occurrence, step }: Pick<TaskPosition, "occurrence" | "step">): Stage | undefined => {
        const state = stateAt(occurrence, step);
        const known = state?.known.get(occurrence);
        if (state === undefined || known !== undefined || hasIndex(state.finished, occurrence)) {
            return known;
        }
        const offered = offeredStage(state, occurrence);
        const stage = offered ?? createStage(state, occurrence);
        if (offered !== undefined) {
            state.window = state.window.filter(other => other !== offered);
        }
        else if (!isReserved(state, occurrence)) {
            changeHeld(state, 1);
        }
        state.ready = subtractRanges(state.ready, [[occurrence, occurrence + 1]]);
        state.known.set(occurrence, stage);
        return stage;
    };
    const stageOf = (position: TaskPosition): Stage | undefined => {
        const { occurrence, step } = position;
        const state = stateAt(occurrence, step);
        const existing = state && (state.known.get(occurrence) ?? offeredStage(state, occurrence));
        if (state === undefined || existing !== undefined) {
            return existing;
        }
        const copy = createStage(state, occurrence);
        if (hasIndex(state.finished, occurrence)) {
            copy.record.waiting.forEach(index => copy.record.done.add(index));
            copy.record.waiting.clear();
        }
        return copy;
    };
    const isStepDone = (occurrence: number, stepIndex: number): boolean =>
        hasIndex(states[stepIndex]?.finished ?? [], occurrence);
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
    const clearWindow = (state: StepState): void => {
        changeHeld(state, -state.window.filter(({ occurrence }) => !isReserved(state, occurrence)).length);
        state.window = [];
    };
    const raiseRevision = (): void => {
        revision += 1;
        if (isSettled()) {
            settledAtRevision ??= revision;
            states.forEach(clearWindow);
        }
    };
    const setFinished = (state: StepState, finished: IndexRanges): void => {
        budget.addFinishedRanges(finished.length - state.finished.length);
        state.finished = finished;
    };
    /** Number of the ranges of indices that are done which end before the index or begin after it. */
    const countNeighbours = ({ done }: Stage["record"], index: number): number =>
        (done.has(index - 1) ? 1 : 0) + (done.has(index + 1) ? 1 : 0);
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
        record.failures.delete(index);
        record.crashes.delete(index);
        record.failedAtRevisions.delete(index);
        const state = states[stage.stepIndex];
        if (isNew && record.done.size === step.count && state !== undefined) {
            remainingSteps -= 1;
            setFinished(state, addIndex(state.finished, stage.occurrence));
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
    const countDue = (now: number): number => {
        if (schedule === undefined) {
            return 1;
        }
        const { firstDue, interval } = schedule;
        // Without an interval, the quotient is infinite or, at the due time itself, not a number.
        const due = now < firstDue ? 0 : interval > 0 ? Math.floor((now - firstDue) / interval) + 1 : occurrences;
        return Math.min(occurrences, due);
    };
    /** Whether the next holder will know that the step is done; if not, it would run the step again. */
    const isStepStored = (occurrence: number, stepIndex: number): boolean =>
        isStepDone(occurrence, stepIndex)
        && (states[stepIndex]?.known.get(occurrence)?.record.doneAtRevision ?? 0) <= storedRevision;
    const isDirty = (): boolean => storedRevision < revision;
    const mayStart = ({ occurrence, step }: Pick<Stage, "occurrence" | "step">): boolean =>
        step.after.every(earlier => isStepStored(occurrence, earlier));
    const isOpen = (stage: Stage): boolean =>
        stage.record.waiting.size > 0 && !isStepDone(stage.occurrence, stage.stepIndex) && mayStart(stage);
    /** Adds occurrences in which the step may start, except those that are known or done. */
    const addReady = (state: StepState, added: IndexRanges): void => {
        const [first] = added;
        if (first !== undefined) {
            const known = rangesOf([...state.known.keys()].filter(occurrence => occurrence >= first[0]));
            const unstarted = subtractRanges(subtractRanges(added, state.finished), known);
            state.ready = unionRanges(state.ready, unstarted);
        }
    };
    const advanceDue = (now: number): void => {
        const due = countDue(now);
        if (due > dueOccurrences) {
            const added: IndexRanges = [[dueOccurrences, due]];
            states.filter(({ step }) => step.after.length === 0).forEach(state => {
                addReady(state, added);
            });
            dueOccurrences = due;
        }
    };
    /** Lets the steps start that depend on a stage whose end is stored. */
    const openDependents = ({ occurrence, stepIndex }: Stage): void => {
        for (const dependent of states[stepIndex]?.dependents ?? []) {
            if (mayStart({ occurrence, step: dependent.step })) {
                addReady(dependent, [[occurrence, occurrence + 1]]);
            }
        }
    };
    const dropStage = ({ occurrence, stepIndex }: Stage): void => {
        const state = states[stepIndex];
        if (state !== undefined && occurrence > 0 && state.known.delete(occurrence)) {
            changeHeld(state, isReserved(state, occurrence) ? 0 : -1);
        }
    };
    /**
     * Has the window of a step show the first occurrences in which it may start. `maxStages` and `maxTasks`: its shares of
     * the bounds; one stage is always shown if there is memory for it.
     */
    const moveWindow = (state: StepState, maxStages: number, maxTasks: number): void => {
        const previous = state.window;
        clearWindow(state);
        const window: Stage[] = [];
        let position = 0;
        let tasks = 0;
        for (const occurrence of indicesOf(state.ready)) {
            const isFull = window.length > 0 && (window.length >= maxStages || tasks >= maxTasks);
            if (isFull || !isReserved(state, occurrence) && !takeStage(state)) {
                break;
            }
            while ((previous[position]?.occurrence ?? Infinity) < occurrence) {
                position += 1;
            }
            const shown = previous[position];
            window.push(shown?.occurrence === occurrence ? shown : createStage(state, occurrence));
            tasks += state.step.count;
        }
        state.window = window;
    };

    const markRangeDone = (stage: Stage, first: number, last: number): void => {
        for (let index = first; index <= Math.min(last, stage.step.count - 1); index += 1) {
            markDone(stage, index);
        }
    };

    const storedRanges = states.map((): IndexRanges[] => []);
    for (const [step, first, last] of stored?.finished ?? []) {
        if (first >= 0 && first <= last && first < occurrences) {
            storedRanges[step]?.push([[first, Math.min(last + 1, occurrences)]]);
        }
    }
    for (const state of states) {
        const finished = unionRanges(...storedRanges[state.stepIndex] ?? []);
        const first = hasIndex(finished, 0) ? recordedStage({ occurrence: 0, step: state.stepIndex }) : undefined;
        if (first !== undefined) {
            markRangeDone(first, 0, first.step.count - 1);
        }
        remainingSteps -= countIndices(subtractRanges(finished, state.finished));
        setFinished(state, unionRanges(state.finished, finished));
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
                row.failures.forEach(([index, runs]) => stage.record.failures.set(index, new Set(runs)));
                row.crashes.forEach(([index, runs]) => stage.record.crashes.set(index, new Map(runs)));
                row.checkpoints.forEach(([index, checkpoint]) => stage.record.checkpoints.set(index, checkpoint));
                row.lastRuns.forEach(([index, lastRun]) => stage.record.lastRuns.set(index, lastRun));
            });
            if (isStepDone(stage.occurrence, stage.stepIndex)) {
                dropStage(stage);
            }
        }
    }
    for (const { cell, tasks } of stored?.transfers ?? []) {
        tasks.forEach(task => {
            addTransfer(task, cell);
        });
    }
    for (const state of states) {
        const [first, ...others] = state.step.after.map(earlier => states[earlier]?.finished ?? []);
        if (first !== undefined) {
            addReady(state, others.reduce(intersectRanges, first));
        }
    }
    const knownStages = (): Stage[] => states.flatMap(({ known }) => [...known.values()]);
    const lastingStages = (): Stage[] => states.flatMap(({ step, known }) => step.isLasting ? [...known.values()] : []);
    return {
        workflow,
        stage: stageOf,
        firstStage: step => {
            const state = states[step];
            return state && (state.known.get(0) ?? offeredStage(state, 0));
        },
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
            advanceDue(now);
            const isStored = !isDirty();
            const readySteps = states.reduce((count, { ready }) => count + (ready.length > 0 ? 1 : 0), 0);
            const open: Stage[] = [];
            for (const state of states) {
                // Which cell runs a long-running task is among the changes to be stored.
                if (isStored || !state.step.isLasting) {
                    for (const stage of state.known.values()) {
                        if (isOpen(stage)) {
                            open.push(stage);
                        }
                    }
                    if (state.ready.length > 0 || state.window.length > 0) {
                        moveWindow(state, maxOpenStages / readySteps, maxOpenTasks / readySteps);
                        open.push(...state.window);
                    }
                }
            }
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
            if (isLasting || budget.hasRoom(stage)) {
                return true;
            }
            const [[from, to] = [0, 0]] = states[stepIndex]?.finished ?? [];
            const [firstWaiting] = record.waiting;
            const isFirst = occurrence === (from === 0 ? to : 0) && index === firstWaiting;
            return budget.isIdle() && (isFirst || record.failures.has(countedIndex(stage, { index })));
        },
        isDone: position => {
            const state = stateAt(position.occurrence, position.step);
            return state?.known.get(position.occurrence)?.record.done.has(position.index)
                ?? (position.index < (state?.step.count ?? 0) && isStepDone(position.occurrence, position.step));
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
            const runs = stage.record.failures.get(index) ?? new Set();
            if (runs.has(run)) {
                return;
            }
            budget.track(stage, () => {
                stage.record.failures.set(index, runs.add(run));
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
                stage.record.crashes.set(index, weights.set(run, weight));
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
                    stage.record.crashes.delete(countedIndex(stage, position));
                });
            }
        },
        recordCheckpoint: (position, checkpoint) => {
            recordedStage(position)?.record.checkpoints.set(position.index, checkpoint);
        },
        completeTakeover: () => {
            for (const { record } of lastingStages()) {
                if (record.started.size > 0) {
                    record.waiting.forEach(index => record.started.add(index));
                }
            }
        },
        absentTasks: () =>
            isSettled()
                ? []
                : lastingStages().flatMap(({ occurrence, stepIndex, record }) =>
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
            knownStages().flatMap(({ occurrence, stepIndex, record }) =>
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
                const state = states[stage.stepIndex];
                if (state !== undefined && isStepDone(stage.occurrence, stage.stepIndex)) {
                    remainingSteps += 1;
                    setFinished(state, subtractRanges(state.finished, [[stage.occurrence, stage.occurrence + 1]]));
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
                dropStage(stage);
                openDependents(stage);
            });
        },
        progress: () => ({
            isCancelled,
            isFailed,
            hasStarted,
            steps: knownStages().filter(stage => !isStepDone(stage.occurrence, stage.stepIndex) && hasProgress(stage))
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
            finished: states.flatMap(({ stepIndex, finished }) =>
                closedRanges(finished).map(([first, last]): [number, number, number] => [stepIndex, first, last])
            ),
            transfers: [...transfers].filter(([, tasks]) => tasks.length > 0)
                .map(([cell, tasks]) => ({ cell, tasks })),
        }),
        release: () => {
            states.forEach(state => {
                state.window = [];
                changeHeld(state, -state.held);
            });
        },
    };
};
