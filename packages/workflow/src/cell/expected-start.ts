import type { TaskName } from "../model/task-name.js";

/** A start order that an earlier holder of the cell sent and that was not answered. */
export interface ExpectedStart {
    readonly task: TaskName;
    readonly run: number;
    /** Monotonic time in ms at which it was ordered at the latest. */
    readonly orderedAt: number;
}
