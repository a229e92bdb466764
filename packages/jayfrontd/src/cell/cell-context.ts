import type { Platform } from "@jayfront/platform";
import type { CellScheduler, TailLatencyGuard } from "@jayfront/policy";
import type { CellId, EnvironmentDocument, WorkerId } from "@jayfront/world";
import type { Logger } from "pino";

import type { Metrics } from "../metrics.js";
import type { Settings } from "../settings.js";
import type { HeldWorker } from "./held-worker.js";

/** State and dependencies that the components of a held cell share. */
export interface CellContext {
    readonly cell: CellId;
    readonly epoch: number;
    readonly platform: Platform;
    readonly timing: Settings["timing"];
    /** The environment document in force. */
    readonly document: () => EnvironmentDocument;
    readonly scheduler: CellScheduler;
    /** Protects the services' tail latencies from batch tasks. */
    readonly guard: TailLatencyGuard;
    /** Workers of the cell that this host has adopted or is trying to adopt. */
    readonly workers: Map<WorkerId, HeldWorker>;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Aborts when this host stops holding the cell. */
    readonly signal: AbortSignal;
    /** Stops holding the cell because another host has taken it; `reason` is logged. */
    readonly loseCell: (reason: string) => void;
}
