import type { Run } from "./run.js";

/** The properties of a run that are set on creation and do not have a default. */
export type RunOrigin = Pick<Run, "task" | "position" | "number" | "worker" | "ledger" | "step" | "checkpoint">;

/** Creates a run in phase `starting`, before its start order is sent. */
export const createRun = (origin: RunOrigin): Run => {
    const now = performance.now();
    return {
        ...origin,
        orderedAt: now,
        phase: "starting",
        answeredAt: Infinity,
        startedAt: now,
        percent: 0,
        percentChangedAt: now,
        reportedAt: now,
        measure: 0,
        pace: 100,
        haltedSince: Infinity,
        isProven: false,
        hasFullRunTime: origin.checkpoint === "",
        doubtedAt: undefined,
        stopReason: undefined,
    };
};
