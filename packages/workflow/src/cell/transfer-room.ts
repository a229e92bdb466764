import type { JobId, ServiceId } from "@jayfront/world";

import type { Step } from "../model/step.js";

/** Asks a cell how many long-running tasks of a step it could run for the step's cell. */
export interface TransferRoomRequest {
    readonly job: JobId;
    readonly service: ServiceId;
    /** Index of the step in the workflow. */
    readonly stepIndex: number;
    readonly step: Step;
    /** Number of tasks that have no room in their cell. */
    readonly count: number;
    /**
     * Whether tasks have lost their run, are the first of their step or have waited for long; the others have to leave
     * room for short-lived work.
     */
    readonly isPreferred: boolean;
}
