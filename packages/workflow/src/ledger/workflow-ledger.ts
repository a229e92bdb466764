import type { Step } from "../model/step.js";
import type { TaskNameParts } from "../model/task-name.js";
import type { Workflow, WorkflowState } from "../model/workflow.js";
import type { StepRecord } from "./step-record.js";
import { createStepRecord } from "./step-record.js";
import type { WorkflowProgress } from "./workflow-progress.js";

/** A step of one occurrence whose tasks may run. */
export interface Stage {
    readonly occurrence: number;
    readonly stepIndex: number;
    readonly step: Step;
    readonly record: StepRecord;
}

/** Position of a task in its workflow. */
export type TaskPosition = Omit<TaskNameParts, "job">;

/** What is known of one workflow: which tasks wait, ran and are done. */
export interface WorkflowLedger {
    readonly workflow: Workflow;
    /** State that submitters may be told: an end counts once it is stored. */
    readonly state: () => WorkflowState;
    /** State as it will be once all changes are stored. */
    readonly latestState: () => WorkflowState;
    /** Whether the workflow has ended one way or another. */
    readonly isSettled: () => boolean;
    /** Steps whose tasks may run now; `now` in Unix ms, `steadyNow` in ms of the steady clock. */
    readonly openStages: (now: number, steadyNow: number) => readonly Stage[];
    readonly stage: (position: TaskPosition) => Stage | undefined;
    readonly isDone: (position: TaskPosition) => boolean;
    readonly recordStart: (position: TaskPosition) => void;
    /** The task has no run any more and waits again. */
    readonly markWaiting: (position: TaskPosition) => void;
    readonly recordDone: (position: TaskPosition) => void;
    /** Counts a failed run once, however often it is told; the workflow has failed when its limit is reached. */
    readonly recordFailure: (position: TaskPosition, run: number) => void;
    readonly recordCheckpoint: (position: TaskPosition, checkpoint: string) => void;
    readonly recordCancellation: () => void;
    /** Whether there are changes that no write has taken over. */
    readonly isDirty: () => boolean;
    readonly progress: () => WorkflowProgress;
    /** The changes in `written` are stored; later ones stay dirty. */
    readonly markStored: (revision: number) => void;
    /** Rises with each change that has to be stored. */
    readonly revision: () => number;
}

const stageKey = (occurrence: number, step: number): string => `${String(occurrence)}.${String(step)}`;

/** Creates the ledger of a workflow, from its stored progress where there is any. */
export const createWorkflowLedger = (workflow: Workflow, stored?: WorkflowProgress): WorkflowLedger => {
    const { steps, queue, schedule } = workflow;
    const occurrences = Math.max(1, schedule?.repetitions ?? 1);
    const stages = new Map<string, Stage>();
    let isCancelled = stored?.isCancelled ?? false;
    let isFailed = stored?.isFailed ?? false;
    let hasStarted = stored?.hasStarted ?? false;
    let revision = 0;
    let writtenRevision = 0;
    /** Revision in which the workflow ended. */
    let settledRevision: number | undefined;
    /** Steps that are still to be done, over all occurrences. */
    let remainingSteps = occurrences * steps.length;

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
    const stage = ({ occurrence, step }: TaskPosition): Stage | undefined => stageAt(occurrence, step);
    const isStepDone = (occurrence: number, number: number): boolean =>
        stages.get(stageKey(occurrence, number))?.record.done.size === steps[number]?.count;
    const isSettled = (): boolean => isCancelled || isFailed || remainingSteps === 0;
    const outcome = (): WorkflowState => {
        if (isCancelled) {
            return "cancelled";
        }
        if (isFailed) {
            return "failed";
        }
        return remainingSteps === 0 ? "completed" : hasStarted ? "running" : "queued";
    };
    const touch = (): void => {
        revision += 1;
        if (isSettled()) {
            settledRevision ??= revision;
        }
    };
    const markDone = (found: Stage, index: number): void => {
        const { record, step } = found;
        const isNew = !record.done.has(index);
        record.done.add(index);
        record.waiting.delete(index);
        record.checkpoints.delete(index);
        record.failures.delete(index);
        if (isNew && record.done.size === step.count) {
            remainingSteps -= 1;
        }
    };
    const isDue = (occurrence: number, now: number): boolean =>
        schedule === undefined || now >= schedule.firstDue + occurrence * schedule.interval;
    const isOpen = (occurrence: number, number: number): boolean =>
        !isStepDone(occurrence, number)
        && (steps[number]?.after ?? []).every(earlier => isStepDone(occurrence, earlier));

    for (const row of stored?.steps ?? []) {
        const found = stageAt(row.occurrence, row.step);
        if (found !== undefined) {
            row.done.forEach(index => {
                markDone(found, index);
            });
            row.failures.forEach(([index, runs]) => found.record.failures.set(index, new Set(runs)));
            row.checkpoints.forEach(([index, checkpoint]) => found.record.checkpoints.set(index, checkpoint));
        }
    }
    return {
        workflow,
        stage,
        isSettled,
        latestState: outcome,
        state: () => {
            const isStored = settledRevision === undefined || writtenRevision >= settledRevision;
            return isStored ? outcome() : hasStarted ? "running" : "queued";
        },
        openStages: (now, steadyNow) => {
            // Ends that are not stored yet must not let later steps start: a new holder could run them again.
            if (isSettled() || writtenRevision < revision) {
                return [];
            }
            const open: Stage[] = [];
            for (let occurrence = 0; occurrence < occurrences && isDue(occurrence, now); occurrence += 1) {
                for (const number of steps.keys()) {
                    const found = isOpen(occurrence, number) ? stageAt(occurrence, number) : undefined;
                    if (found !== undefined) {
                        found.record.readySince ??= steadyNow;
                        open.push(found);
                    }
                }
            }
            return open;
        },
        isDone: position => stage(position)?.record.done.has(position.index) ?? false,
        recordStart: position => {
            const found = stage(position);
            if (found !== undefined) {
                found.record.waiting.delete(position.index);
                found.record.started.add(position.index);
            }
            hasStarted = true;
        },
        markWaiting: position => {
            const found = stage(position);
            if (found !== undefined && !found.record.done.has(position.index)) {
                found.record.waiting.add(position.index);
            }
        },
        recordDone: position => {
            const found = stage(position);
            if (found === undefined || found.step.isLasting) {
                return;
            }
            // One end stands for all members of a gang.
            const indices = found.step.isGang ? [...Array(found.step.count).keys()] : [position.index];
            indices.forEach(index => {
                markDone(found, index);
            });
            touch();
        },
        recordFailure: (position, run) => {
            const found = stage(position);
            if (found === undefined || found.step.isLasting) {
                return;
            }
            const index = found.step.isGang ? 0 : position.index;
            const runs = found.record.failures.get(index) ?? new Set();
            if (runs.has(run)) {
                return;
            }
            found.record.failures.set(index, runs.add(run));
            isFailed ||= runs.size >= queue.maxAttempts;
            touch();
        },
        recordCheckpoint: (position, checkpoint) => {
            stage(position)?.record.checkpoints.set(position.index, checkpoint);
        },
        recordCancellation: () => {
            isCancelled = true;
            touch();
        },
        isDirty: () => writtenRevision < revision,
        revision: () => revision,
        markStored: written => {
            writtenRevision = Math.max(writtenRevision, written);
        },
        progress: () => ({
            isCancelled,
            isFailed,
            hasStarted,
            steps: [...stages.values()].map(({ occurrence, stepIndex: number, record }) => ({
                occurrence,
                step: number,
                done: [...record.done],
                failures: [...record.failures].map(([index, runs]) => [index, [...runs]]),
                checkpoints: [...record.checkpoints],
            })),
        }),
    };
};
