import type { CellId } from "@jayfront/world";
import type { Logger } from "pino";

/** Steps of a new holder from taking its cell to being at work with all workers. */
export type RecoveryStep = "loaded" | "firstPass" | "firstStart" | "workersKnown";

/** Measures how long a new holder takes to bring its cell to work; logs a line once it is done. */
export interface RecoveryMonitor {
    /** Records that a step is reached; only the first call for each step has an effect. */
    readonly record: (step: RecoveryStep) => void;
}

/** Options of {@link createRecoveryMonitor}. */
export interface RecoveryMonitorOptions {
    readonly cell: CellId;
    readonly epoch: number;
    /** Monotonic time in ms at which the call that took the cell was sent. */
    readonly takenAt: number;
    /** See `ProcessDelay.recent`. */
    readonly processDelay: () => number;
    readonly logger: Logger;
}

/** Creates a monitor for a cell that this host has just taken. */
export const createRecoveryMonitor = (options: RecoveryMonitorOptions): RecoveryMonitor => {
    const { cell, epoch, takenAt, processDelay, logger } = options;
    const reached = new Map<RecoveryStep, number>();
    return {
        record: step => {
            if (reached.has(step)) {
                return;
            }
            reached.set(step, Math.round(performance.now() - takenAt));
            if (step === "workersKnown") {
                logger.info({
                    cell,
                    epoch,
                    ...Object.fromEntries(reached),
                    processDelay: Math.round(processDelay()),
                }, "workers of the cell known");
            }
        },
    };
};
