import { performance as processPerformance } from "node:perf_hooks";

import type { CellId } from "@jayfront/world";
import type { Logger } from "pino";

import type { WorkflowMetrics } from "../workflow-metrics.js";

/** Measures whether the holder of a cell keeps up with its work. */
export interface PassMonitor {
    /**
     * Records a placement pass that began `delay` ms after it was due and took `duration` ms. `isFinished`: whether all
     * tasks have had their turn, so that no further pass goes on with the rest.
     */
    readonly recordPass: (delay: number, duration: number, isFinished: boolean) => void;
}

/** Options of {@link createPassMonitor}. */
export interface PassMonitorOptions {
    readonly cell: CellId;
    readonly epoch: number;
    readonly metrics: Pick<WorkflowMetrics, "passSeconds">;
    readonly logger: Logger;
}

/** Milliseconds between two log lines. */
const logInterval = 2_000;
const msPerSecond = 1_000;

/** Creates a monitor without recorded passes. */
export const createPassMonitor = ({ cell, epoch, metrics, logger }: PassMonitorOptions): PassMonitor => {
    let loggedAt = performance.now();
    let utilization = processPerformance.eventLoopUtilization();
    let passes = 0;
    let unfinished = 0;
    let passTime = 0;
    let longestPass = 0;
    let longestDelay = 0;
    const log = (now: number): void => {
        logger.info({
            cell,
            epoch,
            passes,
            unfinished,
            passTime: Math.round(passTime),
            longestPass: Math.round(longestPass),
            longestDelay: Math.round(longestDelay),
            busyShare: Number(processPerformance.eventLoopUtilization(utilization).utilization.toFixed(2)),
            duration: Math.round(now - loggedAt),
        }, "placement passes");
        utilization = processPerformance.eventLoopUtilization();
        loggedAt = now;
        passes = 0;
        unfinished = 0;
        passTime = 0;
        longestPass = 0;
        longestDelay = 0;
    };
    return {
        recordPass: (delay, duration, isFinished) => {
            metrics.passSeconds.observe({ part: "delay" }, Math.max(0, delay) / msPerSecond);
            metrics.passSeconds.observe({ part: "pass" }, duration / msPerSecond);
            passes += 1;
            unfinished += isFinished ? 0 : 1;
            passTime += duration;
            longestPass = Math.max(longestPass, duration);
            longestDelay = Math.max(longestDelay, delay);
            const now = performance.now();
            if (now - loggedAt >= logInterval) {
                log(now);
            }
        },
    };
};
