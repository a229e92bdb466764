import { parentPort } from "node:worker_threads";

import type { BenchCase } from "./run-bench.js";
import { simulateBenchCase } from "./run-bench.js";

// Plays the cells that the bench's main thread sends, one at a time.
parentPort?.on("message", (cell: BenchCase) => {
    parentPort?.postMessage(simulateBenchCase(cell));
});
