import type { CellId, WorkerId } from "@jayfront/world";
import type { Logger } from "pino";

import type { WorkerSpeeds } from "../policy/worker-speeds.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";

/** Reviews which workers are slow, and reports changes in the log and in the metrics. */
export interface SpeedMonitor {
    readonly review: () => void;
    /** Forgets a worker whose life has ended. */
    readonly forget: (worker: WorkerId) => void;
}

/** Options of {@link createSpeedMonitor}. */
export interface SpeedMonitorOptions {
    readonly cell: CellId;
    readonly epoch: number;
    readonly speeds: Pick<WorkerSpeeds, "review" | "forget" | "slowCount">;
    readonly metrics: Pick<WorkflowMetrics, "slowWorkers">;
    readonly logger: Logger;
    /** Aborts when the cell has another holder; its slow workers don't count any more. */
    readonly signal: AbortSignal;
}

/** Largest number of changes that one review logs; the last line counts the others. */
const maxLogged = 20;

/** Creates the monitor of a cell without slow workers. */
export const createSpeedMonitor = (
    { cell, epoch, speeds, metrics, logger, signal }: SpeedMonitorOptions,
): SpeedMonitor => {
    /** Several cells of a host share the metric. */
    let counted = 0;
    const count = (next: number): void => {
        metrics.slowWorkers.inc(next - counted);
        counted = next;
    };
    signal.addEventListener("abort", () => {
        count(0);
    });
    return {
        review: () => {
            const changes = speeds.review();
            const slow = speeds.slowCount();
            count(signal.aborted ? 0 : slow);
            changes.slice(0, maxLogged).forEach(({ worker, speed, isSlow, samples }) => {
                logger.info(
                    { cell, epoch, worker, speed: Number(speed.toFixed(2)), samples, slow },
                    isSlow ? "worker found slow" : "worker at normal speed again",
                );
            });
            if (changes.length > maxLogged) {
                logger.info({ cell, epoch, more: changes.length - maxLogged, slow }, "more workers changed speed");
            }
        },
        forget: worker => {
            speeds.forget(worker);
            count(signal.aborted ? 0 : speeds.slowCount());
        },
    };
};
