import type { Stage } from "../ledger/stage.js";
import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import type { TaskName } from "../model/task-name.js";
import { taskName } from "../model/task-name.js";
import type { RunRegistry } from "./run-registry.js";
import type { UnansweredStarts } from "./unanswered-starts.js";

/** Waiting tasks of a long-running step that have found no room in the cell for some time. */
export interface StrandedTasks {
    readonly ledger: WorkflowLedger;
    readonly stage: Stage;
    /** Monotonic time in ms since which they have found no room. */
    readonly since: number;
    /**
     * Indices of those that may move to another cell: nothing runs of them here, and nothing can start here later. Tasks
     * that ran before come first.
     */
    readonly movable: () => readonly number[];
    readonly nameOf: (index: number) => TaskName;
}

/** Options of {@link findStrandedTasks}. */
export interface StrandedTasksOptions {
    readonly ledgers: Iterable<WorkflowLedger>;
    readonly runRegistry: RunRegistry;
    /** Whether tasks of the workflow may still run on a worker that has not reported to this holder. */
    readonly isHeldBack: (ledger: WorkflowLedger) => boolean;
    /** See `UnansweredStarts.constraintOf`. */
    readonly constraintOf: UnansweredStarts["constraintOf"];
}

/** Milliseconds for which a task waits for room in its cell, where short-lived tasks may end meanwhile. */
const ownRoomWait = 400;

/** Finds the tasks of a cell that should move to another one, those that have waited longest first. */
export const findStrandedTasks = (
    { ledgers, runRegistry, isHeldBack, constraintOf }: StrandedTasksOptions,
): readonly StrandedTasks[] => {
    const now = performance.now();
    const found: StrandedTasks[] = [];
    for (const ledger of ledgers) {
        // The ledger of transferred tasks knows a single occurrence.
        if (ledger.isSettled() || isHeldBack(ledger) || ledger.workflow.schedule !== undefined) {
            continue;
        }
        for (const stage of ledger.openStages(Date.now(), now)) {
            const { step, record, occurrence, stepIndex } = stage;
            const since = record.noRoomSince;
            const isStranded = step.isLasting && !step.isGang && record.waiting.size > 0
                && since !== undefined && now - since >= ownRoomWait;
            if (!isStranded) {
                continue;
            }
            const nameOf = (index: number): TaskName =>
                taskName({ job: ledger.workflow.id, occurrence, step: stepIndex, index });
            const isMovable = (index: number): boolean => {
                const task = nameOf(index);
                const position = { occurrence, step: stepIndex, index };
                // Another cell would not know how many workers have crashed under the task.
                return constraintOf(task) === undefined && runRegistry.ofTask(task).length === 0
                    && ledger.crashWeight(position) === 0;
            };
            const movable = (): readonly number[] => {
                const waiting = ledger.isSettled() ? [] : [...record.waiting].filter(isMovable);
                return [
                    ...waiting.filter(index => record.started.has(index)),
                    ...waiting.filter(index => !record.started.has(index)),
                ];
            };
            found.push({ ledger, stage, since, movable, nameOf });
        }
    }
    return found.sort((left, right) => left.since - right.since);
};
