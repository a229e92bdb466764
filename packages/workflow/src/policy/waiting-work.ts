import type { Step } from "../model/step.js";
import type { Urgency } from "./urgency.js";

/** Resource that short-lived tasks wait for: CPU that they reserve, or CPU that other tasks leave idle. */
export type WorkPool = "reserved" | "spare";

/** Short-lived work of one step that has not started. */
export interface WaitingWork {
    readonly pool: WorkPool;
    readonly urgency: Urgency;
    /** Millicores times ms that the tasks without a run are expected to take. */
    readonly work: number;
}

/** The pool that a step's tasks take their CPU from. */
export const poolOf = (step: Pick<Step, "usesSpareCpu">): WorkPool => step.usesSpareCpu ? "spare" : "reserved";
