import type { Workflow } from "../model/workflow.js";

/** Asks a cell how many tasks of a waiting workflow of another cell it could start now. */
export interface WorkflowRoomRequest {
    /** The workflow, without its payload. */
    readonly workflow: Workflow;
    /** Index of the step whose tasks wait. */
    readonly stepIndex: number;
    /** Number of tasks that wait. */
    readonly count: number;
}
