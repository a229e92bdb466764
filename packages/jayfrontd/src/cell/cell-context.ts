import type { Platform } from "@jayfront/platform";
import type { CellScheduler, TailGuard } from "@jayfront/policy";
import type { CellId, EnvironmentDocument, WorkerId } from "@jayfront/world";
import type { Logger } from "pino";

import type { Metrics } from "../metrics.js";
import type { Settings } from "../settings.js";
import type { HeldWorker } from "./held-worker.js";

/** What the parts of a held cell share. */
export interface CellContext {
    readonly cell: CellId;
    readonly epoch: number;
    readonly platform: Platform;
    readonly timing: Settings["timing"];
    readonly document: () => EnvironmentDocument;
    readonly scheduler: CellScheduler;
    readonly guard: TailGuard;
    readonly workers: Map<WorkerId, HeldWorker>;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Ends with the holding of the cell. */
    readonly signal: AbortSignal;
    /** Ends the holding: another host has the cell. */
    readonly loseCell: (reason: string) => void;
}
