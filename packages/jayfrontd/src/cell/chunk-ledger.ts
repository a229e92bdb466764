import type { TaskAttempt } from "@jayfront/platform";
import type { BatchWork, PendingTask } from "@jayfront/policy";
import type { Chunk, IndexRanges, Job, WorkerId } from "@jayfront/world";
import { addIndex, countIndices, countUnsettledTasks, hasIndex } from "@jayfront/world";

/** An ended attempt that is acknowledged to its worker once the chunk's row holds the outcome. */
export interface PendingAcknowledgement {
    readonly worker: WorkerId;
    readonly attempt: TaskAttempt;
}

/** In-memory state of one chunk: its outcomes, including those not yet written to the table. */
export interface ChunkLedger {
    readonly work: BatchWork;
    readonly job: Job;
    /** The chunk's row with all changes, written or not. */
    readonly chunk: () => Chunk;
    /** Table version that the next write of the row must check. */
    readonly version: () => number;
    /** Whether there are changes or acknowledgements that wait for a write. */
    readonly isDirty: () => boolean;
    /** Whether every task has an outcome; tasks in doubt have none. */
    readonly isSettled: () => boolean;
    readonly hasOutcome: (index: number) => boolean;
    /** Whether the job was cancelled, so that no more of its tasks are started. */
    readonly isCancelled: () => boolean;
    readonly cancel: () => void;
    /** Records an outcome, or that the task is in doubt; does nothing if the task already has an outcome. */
    readonly settle: (index: number, as: "finished" | "failed" | "cancelled" | "inDoubt") => void;
    /** Removes a task from those in doubt without giving it an outcome. */
    readonly clearDoubt: (index: number) => void;
    /** Records the checkpoint from which an evicted task resumes. */
    readonly recordEviction: (index: number, eviction: Chunk["evicted"][number]) => void;
    /** Records the intent to start the tasks below `upTo`; a lower value changes nothing. */
    readonly raiseIntent: (upTo: number) => void;
    /** Index below which tasks may be started, since the table holds the intent to start them. */
    readonly durableIntent: () => number;
    /** Adds an acknowledgement that may be sent once the next write is durable. */
    readonly acknowledgeAfterWrite: (acknowledgement: PendingAcknowledgement) => void;
    /** Indices of tasks that have no outcome and are not in doubt. */
    readonly openIndices: () => readonly number[];
    /** A pending task; its attempt number is at least `firstAttempt` and above that of the latest evicted attempt. */
    readonly pendingTask: (index: number, firstAttempt: number) => PendingTask;
    /**
     * Begins a write of `value`. Once it is durable, `complete` must be called with the row's new version; it returns
     * the acknowledgements that may be sent now.
     */
    readonly beginWrite: () => { value: Chunk; complete: (version: number) => readonly PendingAcknowledgement[]; };
}

const removeIndex = (ranges: IndexRanges, index: number): IndexRanges =>
    ranges.flatMap(([from, to]) => {
        if (index < from || index >= to) {
            return [[from, to] as const];
        }
        return ([[from, index], [index + 1, to]] as const).filter(([start, end]) => start < end);
    });

/** Creates the ledger of the chunk row `initial`, read at table version `initialVersion`. */
export const createChunkLedger = (
    initial: Chunk,
    initialVersion: number,
    job: Job,
    work: BatchWork,
): ChunkLedger => {
    let chunk = initial;
    let version = initialVersion;
    let revision = 0;
    let writtenRevision = 0;
    let isCancelled = job.cancelled;
    let durableIntent = initial.intentUpTo;
    let acknowledgements: PendingAcknowledgement[] = [];
    const change = (next: Partial<Chunk>): void => {
        chunk = { ...chunk, ...next };
        revision += 1;
    };
    const hasOutcome = (index: number): boolean =>
        hasIndex(chunk.finished, index) || hasIndex(chunk.failed, index) || hasIndex(chunk.cancelled, index);
    return {
        work,
        job,
        chunk: () => chunk,
        version: () => version,
        isDirty: () => revision !== writtenRevision || acknowledgements.length > 0,
        isSettled: () => countUnsettledTasks(chunk) === 0,
        hasOutcome,
        isCancelled: () => isCancelled,
        cancel: () => {
            isCancelled = true;
        },
        settle: (index, as) => {
            if (!hasOutcome(index)) {
                change({ inDoubt: removeIndex(chunk.inDoubt, index) });
                change({ [as]: addIndex(chunk[as], index) });
            }
        },
        clearDoubt: index => {
            change({ inDoubt: removeIndex(chunk.inDoubt, index) });
        },
        recordEviction: (index, eviction) => {
            change({ evicted: { ...chunk.evicted, [index]: eviction } });
        },
        raiseIntent: upTo => {
            change({ intentUpTo: Math.max(chunk.intentUpTo, upTo) });
        },
        durableIntent: () => durableIntent,
        acknowledgeAfterWrite: acknowledgement => {
            const isDuplicate = acknowledgements.some(other =>
                other.attempt.task === acknowledgement.attempt.task
                && other.attempt.attempt === acknowledgement.attempt.attempt
            );
            if (!isDuplicate) {
                acknowledgements.push(acknowledgement);
            }
        },
        openIndices: () => {
            const all = [...Array(chunk.count).keys()].map(offset => chunk.first + offset);
            const settled = countIndices(chunk.finished) + countIndices(chunk.failed) + countIndices(chunk.cancelled);
            return settled === 0 && chunk.inDoubt.length === 0
                ? all
                : all.filter(index => !hasOutcome(index) && !hasIndex(chunk.inDoubt, index));
        },
        pendingTask: (index, firstAttempt) => {
            const evicted = chunk.evicted[index];
            return {
                index,
                attempt: Math.max(firstAttempt, (evicted?.attempt ?? 0) + 1),
                checkpoint: evicted?.checkpoint,
                evictions: evicted?.evictions ?? 0,
                failedOn: [],
            };
        },
        beginWrite: () => {
            const revisionAtBegin = revision;
            const intentAtBegin = chunk.intentUpTo;
            const released = [...acknowledgements];
            return {
                value: chunk,
                complete: next => {
                    version = next;
                    writtenRevision = revisionAtBegin;
                    durableIntent = intentAtBegin;
                    acknowledgements = acknowledgements.filter(entry => !released.includes(entry));
                    return released;
                },
            };
        },
    };
};
