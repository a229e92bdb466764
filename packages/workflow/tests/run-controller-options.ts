import { createStopSignal } from "@jayfront/world";
import pino from "pino";

import type { RunControllerOptions } from "../src/cell/run-controller.js";
import { createRunRegistry } from "../src/cell/run-registry.js";
import type { UnansweredStarts } from "../src/cell/unanswered-starts.js";

/** Options of a run controller that knows no workflow and no worker, with those that the test gives in their place. */
export const runControllerOptions = (given: Partial<RunControllerOptions>): RunControllerOptions => ({
    epoch: 1,
    unansweredStarts: {} as UnansweredStarts,
    runRegistry: createRunRegistry(),
    writer: { request: () => undefined },
    processDelay: () => 0,
    processors: 1,
    logger: pino({ level: "silent" }),
    ledgerOf: () => undefined,
    sessionOf: () => undefined,
    onRunAdded: () => undefined,
    onRunConfirmed: () => undefined,
    onRunRemoved: () => undefined,
    onChange: () => undefined,
    onCrash: () => undefined,
    workerCrashes: { record: () => [] },
    ticketOf: () => undefined,
    isOnRecord: () => false,
    storeStarts: () => Promise.resolve(true),
    signal: createStopSignal().signal,
    ...given,
});
