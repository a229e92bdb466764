import { parentPort } from "node:worker_threads";

import type { BenchCase } from "./run-bench.js";
import { simulateBenchCase } from "./run-bench.js";

// Simulates the cases that the main thread sends, one at a time, and replies with their figures.
parentPort?.on("message", (benchCase: BenchCase) => {
    parentPort?.postMessage(simulateBenchCase(benchCase));
});
