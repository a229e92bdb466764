import { parentPort } from "node:worker_threads";

import type { FaultCase, FaultCaseResult } from "./simulate-fault-case.js";
import { simulateFaultCase } from "./simulate-fault-case.js";

/** A run that throws counts as a broken promise, so that the other cases still run. */
const resultOfError = (error: unknown): FaultCaseResult => ({
    hasInjectedFaults: true,
    violations: [{
        promise: "completion",
        evidence: error instanceof Error ? error.stack ?? error.message : String(error),
    }],
});

// Simulates the cases that the main thread sends, one at a time, and replies with their results.
parentPort?.on("message", (faultCase: FaultCase) => {
    void simulateFaultCase(faultCase).catch(resultOfError).then(result => {
        parentPort?.postMessage(result);
    });
});
