/** A task's payload, as JSON: how the stand-in simulates the task. */
export interface TaskPayload {
    /** Run time in seconds at full speed. Default 1. */
    readonly work?: number;
    /** Probability that an attempt fails, from 0 to 1. Default 0. */
    readonly failing?: number;
    /** GB that the task uses; if more than it was given, it ends `out-of-memory`. Default: what it was given. */
    readonly memory?: number;
}
