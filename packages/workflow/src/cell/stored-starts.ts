import type { WorkerId } from "@jayfront/world";

import type { TaskName } from "../model/task-name.js";

/** A start that no worker has answered, as the next holder of a cell has to know it. */
export interface StoredStart {
    readonly task: TaskName;
    /** Number of the run. */
    readonly run: number;
    readonly worker: WorkerId;
    /** Milliseconds since the order. */
    readonly age: number;
    readonly isLasting: boolean;
    /** Whether the order may be carried out late, see `LateOrderDetector`. */
    readonly mayBeDelayed: boolean;
    /** Whether the incarnation of the worker that the start was sent to is over. */
    readonly isIncarnationOver: boolean;
}

/** The starts of a cell that no worker has answered, as far as they may still be carried out. */
export interface StoredStarts {
    /** Milliseconds since a worker last restarted under its id; undefined if none did recently. */
    readonly restartAge: number | undefined;
    /** In the order in which they were sent. */
    readonly starts: readonly StoredStart[];
}

/** A long-running task that has run and runs nowhere but on these workers, which may be none. */
export interface LocatedTask {
    readonly task: TaskName;
    readonly workers: readonly WorkerId[];
}

/** What the next holder of a cell has to know of tasks that no worker lists. */
export interface StoredAbsences extends StoredStarts {
    /** See `LateOrderDetector.signAge`. */
    readonly lateSignAge: number | undefined;
    /** Whether all starts are named. */
    readonly hasAllStarts: boolean;
    /** Long-running tasks that have run and wait to run again, other than the located ones. */
    readonly absentTasks: readonly TaskName[];
    /**
     * Long-running tasks that wait to run again, or run on workers that don't answer. Their unanswered starts may also be
     * carried out; any other start is stored before it is sent.
     */
    readonly locatedTasks: readonly LocatedTask[];
    /**
     * Epoch of the holder that stored them. `locatedTasks` hold for the next epoch only, since a holder of an earlier version
     * does not store starts first; undefined in rows of such a version.
     */
    readonly epoch: number | undefined;
}
