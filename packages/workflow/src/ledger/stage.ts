import type { Step } from "../model/step.js";
import type { StepRecord } from "./step-record.js";

/** One step in one occurrence of a workflow, with the state of its tasks. */
export interface Stage {
    /** Index of the occurrence in the schedule, from 0. */
    readonly occurrence: number;
    /** Index of the step in the workflow, from 0. */
    readonly stepIndex: number;
    readonly step: Step;
    readonly record: StepRecord;
}
