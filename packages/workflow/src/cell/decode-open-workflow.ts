import { Result } from "true-myth";
import { z } from "zod";

import type { WorkflowProgress } from "../ledger/workflow-progress.js";
import { workflowProgress } from "../ledger/workflow-progress.js";
import type { Workflow } from "../model/workflow.js";
import type { StoredRow } from "../port/state-store.js";

/** A workflow that has not ended, as read from its rows. */
export interface OpenWorkflow {
    readonly kind: "open";
    readonly workflow: Workflow;
    /** Undefined if no progress has been stored yet. */
    readonly progress: WorkflowProgress | undefined;
    /** Version of the progress row; 0 if there is none. */
    readonly progressVersion: number;
}

/** The fields of a workflow without which a holder can't run it; it keeps all others as they are. */
const essentialWorkflow = z.looseObject({
    id: z.string(),
    queue: z.looseObject({ name: z.string(), service: z.string() }),
    payload: z.string(),
    steps: z.array(z.looseObject({
        count: z.int().positive(),
        cpu: z.number(),
        memory: z.number(),
        after: z.array(z.int()),
    })).min(1),
    acceptedAt: z.number(),
});

/**
 * Decodes the rows of a workflow that has not ended. The error describes what is not valid, for example in rows that a
 * faulty release wrote.
 */
export const decodeOpenWorkflow = (
    row: StoredRow,
    progress: StoredRow | undefined,
): Result<OpenWorkflow, string> => {
    try {
        const value: unknown = JSON.parse(row.value);
        const { id } = essentialWorkflow.parse(value);
        if (id !== row.key) {
            return Result.err(`the row ${row.key} contains the workflow ${id}`);
        }
        return Result.ok({
            kind: "open",
            workflow: value as Workflow,
            progress: progress === undefined ? undefined : workflowProgress.parse(JSON.parse(progress.value)),
            progressVersion: progress?.version ?? 0,
        });
    }
    catch (error) {
        return Result.err(`the rows of workflow ${row.key} are not valid: ${String(error)}`);
    }
};
