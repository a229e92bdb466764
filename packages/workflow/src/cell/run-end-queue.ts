/**
 * Tracks which run ends of one worker incarnation are stored. A worker numbers its ends and drops all up to the number
 * that it is told, so this number must not pass an end that is not stored yet.
 */
export interface RunEndQueue {
    /** Whether the end with this number has not been added yet. */
    readonly isNew: (number: number) => boolean;
    /**
     * Adds all ends up to `last`; the returned function has to be called after each of their `writes` writes. Without
     * writes, the ends count as stored at once.
     */
    readonly add: (last: number, writes: number) => () => void;
    /** Number up to which all ends are stored; 0 if none is. */
    readonly recorded: () => number;
}

/** Ends that were reported together. */
interface Batch {
    /** Highest number of an end in the batch. */
    readonly last: number;
    /** Number of writes that have not been done yet. */
    pendingWrites: number;
}

/** Creates the queue of one worker incarnation; `record` is called with the number up to which all ends are stored. */
export const createRunEndQueue = (record: (number: number) => void): RunEndQueue => {
    const batches: Batch[] = [];
    let lastAdded = 0;
    let recorded = 0;
    const recordStored = (): void => {
        const recordedBefore = recorded;
        while (batches[0] !== undefined && batches[0].pendingWrites <= 0) {
            recorded = batches.shift()?.last ?? recorded;
        }
        if (recorded > recordedBefore) {
            record(recorded);
        }
    };
    return {
        recorded: () => recorded,
        isNew: number => number > lastAdded,
        add: (last, writes) => {
            const batch = { last, pendingWrites: writes };
            lastAdded = Math.max(lastAdded, last);
            batches.push(batch);
            recordStored();
            return () => {
                batch.pendingWrites -= 1;
                recordStored();
            };
        },
    };
};
