/** Ends of one life of a worker that are being stored; a worker may only forget them in order. */
export interface RunEndQueue {
    /** Whether the end has not been taken in yet. */
    readonly isNew: (number: number) => boolean;
    /** Takes ends up to `last` in; returns what to call once each of `writes` is done, or at once where there are none. */
    readonly add: (last: number, writes: number) => () => void;
}

interface Batch {
    readonly last: number;
    left: number;
}

/** Creates the queue of one life; `record` is called with the number up to which all ends are stored. */
export const createRunEndQueue = (record: (number: number) => void): RunEndQueue => {
    const batches: Batch[] = [];
    let taken = 0;
    const settle = (): void => {
        let recorded: number | undefined;
        while (batches[0] !== undefined && batches[0].left <= 0) {
            recorded = batches.shift()?.last;
        }
        if (recorded !== undefined) {
            record(recorded);
        }
    };
    return {
        isNew: number => number > taken,
        add: (last, writes) => {
            const batch = { last, left: writes };
            taken = Math.max(taken, last);
            batches.push(batch);
            settle();
            return () => {
                batch.left -= 1;
                settle();
            };
        },
    };
};
