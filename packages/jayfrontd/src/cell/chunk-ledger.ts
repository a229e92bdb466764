import type { TaskAttempt } from "@jayfront/platform";
import type { BatchWork, PendingTask } from "@jayfront/policy";
import type { Chunk, IndexRanges, Job, WorkerId } from "@jayfront/world";
import { addIndex, countIndices, hasIndex, unsettledCount } from "@jayfront/world";

/** An ended attempt that its worker may forget once the chunk's row holds the outcome. */
export interface PendingAcknowledgement {
    readonly worker: WorkerId;
    readonly attempt: TaskAttempt;
}

/** The outcomes of one chunk in memory, with what the table does not hold yet. */
export interface ChunkLedger {
    readonly work: BatchWork;
    readonly job: Job;
    readonly chunk: () => Chunk;
    /** Version of the row that the next write must check. */
    readonly version: () => number;
    readonly isDirty: () => boolean;
    /** Whether every task has an outcome. */
    readonly isSettled: () => boolean;
    readonly hasOutcome: (index: number) => boolean;
    /** Whether the job was cancelled: tasks that have not started are not started. */
    readonly isCancelled: () => boolean;
    readonly cancel: () => void;
    /** Records an outcome; one that stands already is kept. */
    readonly settle: (index: number, as: "finished" | "failed" | "cancelled" | "inDoubt") => void;
    /** Takes a task out of doubt. */
    readonly clearDoubt: (index: number) => void;
    readonly recordEviction: (index: number, eviction: Chunk["evicted"][number]) => void;
    readonly raiseIntent: (upTo: number) => void;
    /** Tasks below this index may be started: the table holds the intent. */
    readonly durableIntent: () => number;
    /** Adds an acknowledgement that the next write releases. */
    readonly acknowledgeAfterWrite: (acknowledgement: PendingAcknowledgement) => void;
    /** Indices without outcome that are not in doubt. */
    readonly openIndices: () => readonly number[];
    /** A task as pending, with attempt `firstAttempt` or above. */
    readonly pendingTask: (index: number, firstAttempt: number) => PendingTask;
    /** Begins a write: the row's value, and what to call with the new version once it is durable. */
    readonly beginWrite: () => { value: Chunk; complete: (version: number) => readonly PendingAcknowledgement[]; };
}

const removeIndex = (ranges: IndexRanges, index: number): IndexRanges =>
    ranges.flatMap(([from, to]) => {
        if (index < from || index >= to) {
            return [[from, to] as const];
        }
        return ([[from, index], [index + 1, to]] as const).filter(([start, end]) => start < end);
    });

/** Opens the ledger of `initial`, read at `initialVersion`. */
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
        isSettled: () => unsettledCount(chunk) === 0,
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
            const isKnown = acknowledgements.some(other =>
                other.attempt.task === acknowledgement.attempt.task
                && other.attempt.attempt === acknowledgement.attempt.attempt
            );
            if (!isKnown) {
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
            const begun = revision;
            const intent = chunk.intentUpTo;
            const released = [...acknowledgements];
            return {
                value: chunk,
                complete: next => {
                    version = next;
                    writtenRevision = begun;
                    durableIntent = intent;
                    acknowledgements = acknowledgements.filter(entry => !released.includes(entry));
                    return released;
                },
            };
        },
    };
};
