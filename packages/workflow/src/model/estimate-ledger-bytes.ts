import { estimateWorkflowBytes } from "./estimate-workflow-bytes.js";
import type { Workflow } from "./workflow.js";

/** Bytes of the record of a step and of its candidate in a pass of placement; measured on 20,000 steps of one task. */
const stepBytes = 4_096;
/** Bytes of a task in the sets of its step. */
const taskBytes = 128;

/** Estimates the bytes of memory that the ledger of a workflow takes, with the workflow. */
export const estimateLedgerBytes = (workflow: Workflow): number =>
    workflow.steps.reduce((bytes, { count }) => bytes + stepBytes + count * taskBytes, estimateWorkflowBytes(workflow));
