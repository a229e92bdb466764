import type { IndexRanges } from "@jayfront/world";
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
import type { Workflow } from "../model/workflow.js";
import type { MemoryAllowance } from "../port/memory-allowance.js";
import type { Stage } from "./stage.js";
import { createStepRecord } from "./step-record.js";
import type { TaskPosition } from "./task-position.js";

/** Step of a workflow in one of its occurrences. */
export type StagePosition = Pick<TaskPosition, "occurrence" | "step">;

/**
 * The stages of a workflow in all of its occurrences. Of those that are done or may start, it keeps ranges of occurrences
 * for each step; it makes records of those at work and of the first ones that may start, so that neither memory nor the
 * time of a pass grows with the number of occurrences.
 */
export interface StageTable {
    /** See `WorkflowLedger.stage`. */
    readonly at: (position: StagePosition) => Stage | undefined;
    /** The stage, if a task of it has started, failed or ended, unless it is done and was dropped. */
    readonly known: (position: StagePosition) => Stage | undefined;
    /** As `known`, and makes it known; undefined only if it does not exist, or is done and was dropped. */
    readonly recorded: (position: StagePosition) => Stage | undefined;
    /** See `WorkflowLedger.firstStage`. */
    readonly first: (stepIndex: number) => Stage | undefined;
    readonly allKnown: () => readonly Stage[];
    /** The known stages of long-running steps. */
    readonly lasting: () => readonly Stage[];
    readonly isDone: (occurrence: number, stepIndex: number) => boolean;
    /** Occurrences in which the step is done, stored or not. */
    readonly doneOccurrences: (stepIndex: number) => IndexRanges;
    /** The first occurrence in which the step is not done. */
    readonly firstOpen: (stepIndex: number) => number;
    readonly markDone: (stage: Stage) => void;
    readonly markUndone: (stage: Stage) => void;
    /** Marks the step as done, stored, in further occurrences; returns in how many of them it was not. */
    readonly addDone: (stepIndex: number, occurrences: IndexRanges) => number;
    /** Drops a stage that is done and stored, unless it is of the first occurrence, by which cells are summarized. */
    readonly drop: (stage: Stage) => void;
    /** Lets the steps start that depend on the stage, whose end is stored. */
    readonly openDependents: (stage: Stage) => void;
    /** Lets the steps start whose dependencies were done when the workflow was loaded; to be called once, after that. */
    readonly openLoaded: () => void;
    /**
     * See `WorkflowLedger.openStages`; `now` in Unix ms. `withLasting`: whether long-running steps are among them.
     */
    readonly open: (now: number, withLasting: boolean) => Stage[];
    /** Drops the stages in which nothing has started; to be called when nothing is to start any more. */
    readonly close: () => void;
    /** See `WorkflowLedger.release`. */
    readonly release: () => void;
}

/** Options of {@link createStageTable}. */
export interface StageTableOptions {
    readonly workflow: Workflow;
    readonly occurrences: number;
    /** See `LedgerLimits.stageMemory`. */
    readonly stageMemory: MemoryAllowance | undefined;
    /** Revision of the ledger up to which changes are stored. */
    readonly storedRevision: () => number;
    /** Called with the number by which the ranges in {@link StageTable.doneOccurrences} have become more, or fewer. */
    readonly onFinishedRanges: (change: number) => void;
}

/**
 * Waiting tasks of a workflow up to which further stages open, divided among the steps that may start: each of them takes
 * memory and time in each pass.
 */
const maxOpenTasks = 20_000;
/** As `maxOpenTasks`, in stages. A pass starts fewer tasks, so that the next one opens what the first ones leave. */
const maxOpenStages = 512;

/** State of a step in all occurrences. */
interface StepState {
    readonly step: Step;
    readonly stepIndex: number;
    /** The steps that depend on this one. */
    readonly dependents: StepState[];
    /** See {@link StageTable.doneOccurrences}. */
    finished: IndexRanges;
    /** Due occurrences in which the step may start and none of its tasks has; they are not among `known`. */
    ready: IndexRanges;
    /** Stages of the first occurrences of `ready`, in their order. */
    window: readonly Stage[];
    /** See {@link StageTable.known}; by occurrence. */
    readonly known: Map<number, Stage>;
    /** Number of stages in memory that count against the allowance. */
    held: number;
}

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
const createStage = ({ step, stepIndex }: StepState, occurrence: number): Stage => ({
    occurrence,
    stepIndex,
    step,
    record: createStepRecord(step.count),
});
const only = (occurrence: number): IndexRanges => [[occurrence, occurrence + 1]];
/** Whether the workflow's own estimate contains the stage: those of long-running steps are never dropped. */
const isReserved = ({ step }: StepState, occurrence: number): boolean => occurrence === 0 || step.isLasting;
const offeredStage = ({ window }: StepState, occurrence: number): Stage | undefined =>
    window.find(stage => stage.occurrence === occurrence);

/** Creates the stages of a workflow of which nothing has started. */
export const createStageTable = (options: StageTableOptions): StageTable => {
    const { workflow: { steps, schedule }, occurrences, stageMemory, storedRevision, onFinishedRanges } = options;
    const states = createStepStates(steps);
    /** Number of occurrences that have become due; they do so in their order. */
    let dueOccurrences = 0;

    /** Changes the number of stages of a step in memory; the workflow's own estimate contains one beside the first. */
    const changeHeld = (state: StepState, change: number): void => {
        const excessBefore = Math.max(0, state.held - 1);
        state.held += change;
        const bytes = (Math.max(0, state.held - 1) - excessBefore) * estimateStageBytes(state.step);
        if (bytes > 0) {
            stageMemory?.hold(bytes);
        }
        else if (bytes < 0) {
            stageMemory?.giveBack(-bytes);
        }
    };
    /** Takes memory for one more stage of the step; false if none is left. */
    const takeStage = (state: StepState): boolean => {
        const isTaken = state.held === 0 || stageMemory?.take(estimateStageBytes(state.step)) !== false;
        state.held += isTaken ? 1 : 0;
        return isTaken;
    };
    /** State of the step, if the workflow has it and the occurrence. */
    const stateAt = ({ occurrence, step }: StagePosition): StepState | undefined =>
        occurrence >= 0 && occurrence < occurrences ? states[step] : undefined;
    const known: StageTable["known"] = position => stateAt(position)?.known.get(position.occurrence);
    const recorded: StageTable["recorded"] = position => {
        const { occurrence } = position;
        const state = stateAt(position);
        const existing = state?.known.get(occurrence);
        if (state === undefined || existing !== undefined || hasIndex(state.finished, occurrence)) {
            return existing;
        }
        const offered = offeredStage(state, occurrence);
        const stage = offered ?? createStage(state, occurrence);
        if (offered !== undefined) {
            state.window = state.window.filter(other => other !== offered);
        }
        else if (!isReserved(state, occurrence)) {
            changeHeld(state, 1);
        }
        state.ready = subtractRanges(state.ready, only(occurrence));
        state.known.set(occurrence, stage);
        return stage;
    };
    const at: StageTable["at"] = position => {
        const { occurrence } = position;
        const state = stateAt(position);
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
    const isDone: StageTable["isDone"] = (occurrence, stepIndex) =>
        hasIndex(states[stepIndex]?.finished ?? [], occurrence);
    const setFinished = (state: StepState, finished: IndexRanges): void => {
        onFinishedRanges(finished.length - state.finished.length);
        state.finished = finished;
    };
    /** Whether the next holder will know that the step is done; if not, it would run the step again. */
    const isStored = (occurrence: number, stepIndex: number): boolean =>
        isDone(occurrence, stepIndex)
        && (states[stepIndex]?.known.get(occurrence)?.record.doneAtRevision ?? 0) <= storedRevision();
    const mayStart = ({ occurrence, step }: Pick<Stage, "occurrence" | "step">): boolean =>
        step.after.every(earlier => isStored(occurrence, earlier));
    const isOpen = (stage: Stage): boolean =>
        stage.record.waiting.size > 0 && !isDone(stage.occurrence, stage.stepIndex) && mayStart(stage);
    const countDue = (now: number): number => {
        if (schedule === undefined) {
            return 1;
        }
        const { firstDue, interval } = schedule;
        // Without an interval, the quotient is infinite or, at the due time itself, not a number.
        const due = now < firstDue ? 0 : interval > 0 ? Math.floor((now - firstDue) / interval) + 1 : occurrences;
        return Math.min(occurrences, due);
    };
    /** Adds occurrences in which the step may start, except those that are known or done. */
    const addReady = (state: StepState, added: IndexRanges): void => {
        const [first] = added;
        if (first !== undefined) {
            const atWork = rangesOf([...state.known.keys()].filter(occurrence => occurrence >= first[0]));
            const unstarted = subtractRanges(subtractRanges(added, state.finished), atWork);
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
    const clearWindow = (state: StepState): void => {
        changeHeld(state, -state.window.filter(({ occurrence }) => !isReserved(state, occurrence)).length);
        state.window = [];
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
    return {
        at,
        known,
        recorded,
        first: stepIndex => {
            const state = states[stepIndex];
            return state && (state.known.get(0) ?? offeredStage(state, 0));
        },
        allKnown: () => states.flatMap(state => [...state.known.values()]),
        lasting: () => states.flatMap(state => state.step.isLasting ? [...state.known.values()] : []),
        isDone,
        doneOccurrences: stepIndex => states[stepIndex]?.finished ?? [],
        firstOpen: stepIndex => {
            const [range] = states[stepIndex]?.finished ?? [];
            return range?.[0] === 0 ? range[1] : 0;
        },
        markDone: ({ occurrence, stepIndex }) => {
            const state = states[stepIndex];
            if (state !== undefined) {
                setFinished(state, addIndex(state.finished, occurrence));
            }
        },
        markUndone: ({ occurrence, stepIndex }) => {
            const state = states[stepIndex];
            if (state !== undefined) {
                setFinished(state, subtractRanges(state.finished, only(occurrence)));
            }
        },
        addDone: (stepIndex, added) => {
            const state = states[stepIndex];
            if (state === undefined) {
                return 0;
            }
            const newlyDone = countIndices(subtractRanges(added, state.finished));
            setFinished(state, unionRanges(state.finished, added));
            return newlyDone;
        },
        drop: ({ occurrence, stepIndex }) => {
            const state = states[stepIndex];
            if (state !== undefined && occurrence > 0 && state.known.delete(occurrence)) {
                changeHeld(state, isReserved(state, occurrence) ? 0 : -1);
            }
        },
        openDependents: ({ occurrence, stepIndex }) => {
            for (const dependent of states[stepIndex]?.dependents ?? []) {
                if (mayStart({ occurrence, step: dependent.step })) {
                    addReady(dependent, only(occurrence));
                }
            }
        },
        openLoaded: () => {
            for (const state of states) {
                const [first, ...others] = state.step.after.map(earlier => states[earlier]?.finished ?? []);
                if (first !== undefined) {
                    addReady(state, others.reduce(intersectRanges, first));
                }
            }
        },
        open: (now, withLasting) => {
            advanceDue(now);
            const readySteps = states.reduce((count, { ready }) => count + (ready.length > 0 ? 1 : 0), 0);
            const open: Stage[] = [];
            for (const state of states) {
                if (state.step.isLasting && !withLasting) {
                    continue;
                }
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
            return open;
        },
        close: () => {
            states.forEach(clearWindow);
        },
        release: () => {
            for (const state of states) {
                state.window = [];
                changeHeld(state, -state.held);
            }
        },
    };
};
