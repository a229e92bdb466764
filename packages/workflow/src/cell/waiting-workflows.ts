import type { JobId } from "@jayfront/world";

import type { Stage, WorkflowLedger } from "../ledger/workflow-ledger.js";
import { taskName } from "../model/task-name.js";
import type { RunRegistry } from "./run-registry.js";
import type { UnansweredStarts } from "./unanswered-starts.js";

/** A workflow of short-lived tasks that has no run, and a step whose tasks have found no worker in the cell. */
export interface WaitingWorkflow {
    readonly ledger: WorkflowLedger;
    readonly stage: Stage;
    /** Monotonic time in ms since which it is known to have waited for room without a run. */
    readonly since: number;
}

/** Options of {@link findWaitingWorkflows}. */
export interface WaitingWorkflowsOptions {
    readonly ledgers: Iterable<WorkflowLedger>;
    readonly runRegistry: Pick<RunRegistry, "ofWorkflow">;
    /** Whether tasks of the workflow may still run on a worker that has not reported to this holder. */
    readonly isHeldBack: (ledger: WorkflowLedger) => boolean;
    /** See `UnansweredStarts.constraintOf`. */
    readonly constraintOf: UnansweredStarts["constraintOf"];
    /** Whether a start of the task has no answer; it may yet turn out that it is carried out late. */
    readonly hasUnansweredStart: UnansweredStarts["hasAny"];
}

/**
 * Whether nothing of the workflow runs and nothing can start later by an earlier order, so that another cell may run all
 * of it; `stages` are its open stages.
 */
const isFree = (ledger: WorkflowLedger, stages: readonly Stage[], options: WaitingWorkflowsOptions): boolean => {
    const { workflow: { id } } = ledger;
    return !options.isHeldBack(ledger) && !ledger.isDirty() && options.runRegistry.ofWorkflow(id).length === 0
        && stages.every(({ occurrence, stepIndex, record }) =>
            [...record.waiting].every(index => {
                const position = { occurrence, step: stepIndex, index };
                const task = taskName({ job: id, ...position });
                // Another cell would not know on which workers tasks have crashed.
                return options.constraintOf(task) === undefined && !options.hasUnansweredStart(task)
                    && ledger.crashWeight(position) === 0;
            })
        );
};

/** Finds the workflows of a cell that may move to another one as a whole. */
export const findWaitingWorkflows = (options: WaitingWorkflowsOptions): ReadonlyMap<JobId, WaitingWorkflow> => {
    const now = performance.now();
    const found = new Map<JobId, WaitingWorkflow>();
    for (const ledger of options.ledgers) {
        const { workflow: { id, steps, schedule } } = ledger;
        const isCandidate = !ledger.isSettled() && schedule === undefined
            && options.runRegistry.ofWorkflow(id).length === 0 && !steps.some(step => step.isLasting);
        const stages = isCandidate ? ledger.openStages(Date.now(), now) : [];
        // Spare-CPU tasks soon get a run in their own cell, whatever they disturb; see `StarvingWorkflows`.
        const stage = stages.find(({ step, record }) =>
            record.waiting.size > 0 && record.noRoomSince !== undefined && !step.usesSpareCpu
        );
        if (stage !== undefined && isFree(ledger, stages, options)) {
            const { started, noRoomSince = now } = stage.record;
            found.set(id, { ledger, stage, since: started.size === 0 ? noRoomSince : now });
        }
    }
    return found;
};
