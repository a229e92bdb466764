import type { TaskStart } from "./task-start.js";

/** A task attempt that runs on a worker now. */
export interface RunningTask extends TaskStart {
    /** Milliseconds since the attempt started, by the worker's clock. */
    readonly age: number;
    /** Throttle level: share of full speed, from 0 to 1. */
    readonly level: number;
}
