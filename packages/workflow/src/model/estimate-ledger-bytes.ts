import { estimateStageBytes } from "./estimate-stage-bytes.js";
import { estimateWorkflowBytes } from "./estimate-workflow-bytes.js";
import type { Workflow } from "./workflow.js";

/** Stages of a step of a schedule that its ledger may keep without asking: the first occurrence and another one. */
const ownStages = 2;

/**
 * Estimates the bytes of memory that the ledger of a workflow takes, with the workflow. Of a schedule only those that it
 * needs to go on; what it takes beyond is counted once it does. Long-running steps go on in all occurrences.
 */
export const estimateLedgerBytes = (workflow: Workflow): number => {
    const occurrences = Math.max(1, workflow.schedule?.repetitions ?? 1);
    return workflow.steps.reduce(
        (bytes, step) =>
            bytes + estimateStageBytes(step) * (step.isLasting ? occurrences : Math.min(occurrences, ownStages)),
        estimateWorkflowBytes(workflow),
    );
};
