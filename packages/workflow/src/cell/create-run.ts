import type { Run } from "./run.js";

/** Parts of a run that its creator knows. */
export type RunOrigin = Pick<Run, "task" | "position" | "number" | "worker" | "ledger" | "step" | "checkpoint">;

/** A run that is about to be ordered. */
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
        wasSlowed: false,
        stopReason: undefined,
    };
};
