import type { CellId, FailureDomainId } from "@jayfront/world";
import type { Logger } from "pino";

import type { CellWorkers } from "../cell/cell-workers.js";
import type { RunRegistry } from "../cell/run-registry.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import type { Evacuations } from "./evacuation-watch.js";

/** Tells operators which failure domains of a cell are being evacuated, and what still runs there. */
export interface EvacuationMonitor {
    /** Logs what has changed since the last review, and updates the metrics. */
    readonly review: () => void;
    /** Removes the cell's figures from the metrics, since this host does not hold it any more. */
    readonly stop: () => void;
}

/** Options of {@link createEvacuationMonitor}. */
export interface EvacuationMonitorOptions {
    readonly cell: CellId;
    readonly epoch: number;
    readonly workers: CellWorkers;
    readonly runRegistry: RunRegistry;
    readonly evacuations: Evacuations;
    /** Number of the cell's workflows that have waiting tasks. */
    readonly countWaiting: () => number;
    readonly metrics: Pick<WorkflowMetrics, "evacuatedDomainTasks">;
    readonly logger: Logger;
}

/** What was last logged of a failure domain. */
interface Reported {
    readonly version: number;
    readonly isEmpty: boolean;
}

/** Creates a monitor that has seen no request. */
export const createEvacuationMonitor = (options: EvacuationMonitorOptions): EvacuationMonitor => {
    const { cell, epoch, workers, runRegistry, evacuations, countWaiting, metrics, logger } = options;
    const reported = new Map<FailureDomainId, Reported>();
    /** Number of runs by failure domain that is to be evacuated. */
    const countLeft = (): ReadonlyMap<FailureDomainId, number> => {
        const left = new Map<FailureDomainId, number>();
        for (const { session } of workers.values()) {
            const { failureDomain } = session.entry();
            if (evacuations.isEvacuated(failureDomain)) {
                left.set(failureDomain, (left.get(failureDomain) ?? 0) + runRegistry.ofWorker(session.id).size);
            }
        }
        return left;
    };
    const log = (failureDomain: FailureDomainId, version: number, tasksLeft: number, message: string): void => {
        const age = Math.round(evacuations.age());
        logger.info({ cell, epoch, failureDomain, version, age, tasksLeft, waiting: countWaiting() }, message);
    };
    return {
        review: () => {
            const left = countLeft();
            for (const [failureDomain, tasksLeft] of left) {
                const version = evacuations.versionOf(failureDomain) ?? 0;
                const isEmpty = tasksLeft === 0;
                const last = reported.get(failureDomain);
                if (last?.version !== version) {
                    log(failureDomain, version, tasksLeft, "evacuation requested; starting nothing there");
                }
                if (isEmpty && last?.isEmpty !== true) {
                    log(failureDomain, version, tasksLeft, "evacuated; nothing runs there");
                }
                reported.set(failureDomain, { version, isEmpty });
                metrics.evacuatedDomainTasks.set({ domain: failureDomain }, tasksLeft);
            }
            for (const [failureDomain, { version }] of reported) {
                if (!left.has(failureDomain)) {
                    reported.delete(failureDomain);
                    metrics.evacuatedDomainTasks.remove({ domain: failureDomain });
                    log(failureDomain, version, 0, "evacuation request removed; the domain is in use again");
                }
            }
        },
        stop: () => {
            [...reported.keys()].forEach(domain => {
                metrics.evacuatedDomainTasks.remove({ domain });
            });
        },
    };
};
