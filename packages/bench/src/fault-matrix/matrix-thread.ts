import { parentPort } from "node:worker_threads";

import type { FaultCase, FaultCaseResult } from "./simulate-fault-case.js";
import { simulateFaultCase } from "./simulate-fault-case.js";

const failed = (error: unknown): FaultCaseResult => ({
    hasInjectedFaults: true,
    violations: [{
        promise: "completion",
        evidence: error instanceof Error ? error.stack ?? error.message : String(error),
    }],
});

// Plays the cells that the matrix's main thread sends, one at a time.
parentPort?.on("message", (cell: FaultCase) => {
    void simulateFaultCase(cell).catch(failed).then(verdict => {
        parentPort?.postMessage(verdict);
    });
});
