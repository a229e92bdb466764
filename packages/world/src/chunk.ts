import type { CellId } from "./id/cell-id.js";
import type { CheckpointId } from "./id/checkpoint-id.js";
import type { JobId } from "./id/job-id.js";
import type { IndexRanges } from "./index-ranges.js";

/** Stored row of a chunk: consecutive tasks of one job that one cell runs. */
export interface Chunk {
    readonly job: JobId;
    /** Number of the chunk in its job, from 0. */
    readonly number: number;
    readonly cell: CellId;
    /** Index of the first task. */
    readonly first: number;
    /** Number of tasks. */
    readonly count: number;
    readonly finished: IndexRanges;
    readonly failed: IndexRanges;
    readonly cancelled: IndexRanges;
    /** Tasks of non-idempotent jobs that may have run but have no known outcome; an operator settles them. */
    readonly inDoubt: IndexRanges;
    /** In non-idempotent jobs, only tasks below this index may have been started. */
    readonly intentUpTo: number;
    /** Latest attempt and checkpoint of evicted tasks, by task index. */
    readonly evicted: Readonly<Record<number, { attempt: number; checkpoint: CheckpointId; evictions: number; }>>;
}
