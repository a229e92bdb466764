import { Result } from "true-myth";

/** Why a queue turned a request away. */
export type QueueRefusal = "queue-full" | "deadline-unreachable" | "deadline-passed" | "cancelled" | "closed";

/** Answer to a request that waited: the slot that was taken for it, or why there is none. */
export type QueueResult<Slot> = Result<Slot, QueueRefusal>;

/** Requests that wait for a slot, earliest deadline first. */
export interface RequestQueue<Slot> {
    /** Waits for a slot; answers at once where waiting is hopeless. `deadline` is monotonic milliseconds. */
    readonly wait: (deadline: number, limit: number, signal: AbortSignal) => Promise<QueueResult<Slot>>;
    /** Hands slots to waiting requests for as long as `take` brings one. */
    readonly admitWaiting: (take: () => Slot | undefined) => void;
    readonly length: () => number;
    /** Milliseconds that a request that joins now would wait, by the latest service times. */
    readonly expectedWait: () => number;
    /** Learns from a finished request how fast slots become free. */
    readonly recordServiceTime: (milliseconds: number) => void;
    /** Turns away all that wait. */
    readonly close: () => void;
}

/** Options of {@link createRequestQueue}. */
export interface RequestQueueOptions {
    /** Slots that serve the queue at the moment. */
    readonly slots: () => number;
}

interface Waiting<Slot> {
    readonly deadline: number;
    readonly answer: (answer: QueueResult<Slot>) => void;
}

const initialServiceTime = 50;
const serviceTimeWeight = 0.1;

/** Creates an empty queue. */
export const createRequestQueue = <Slot>({ slots }: RequestQueueOptions): RequestQueue<Slot> => {
    const waiting: Waiting<Slot>[] = [];
    let serviceTime = initialServiceTime;
    let isClosed = false;
    const expectedWait = (): number => (waiting.length + 1) * serviceTime / Math.max(1, slots());
    const insert = (entry: Waiting<Slot>): void => {
        const position = waiting.findIndex(other => other.deadline > entry.deadline);
        waiting.splice(position < 0 ? waiting.length : position, 0, entry);
    };
    const remove = (entry: Waiting<Slot>): void => {
        const position = waiting.indexOf(entry);
        if (position >= 0) {
            waiting.splice(position, 1);
        }
    };
    const enqueue = (deadline: number, signal: AbortSignal): Promise<QueueResult<Slot>> =>
        new Promise(resolve => {
            const finish = (answer: QueueResult<Slot>): void => {
                clearTimeout(timer);
                signal.removeEventListener("abort", cancel);
                remove(entry);
                resolve(answer);
            };
            const cancel = (): void => {
                finish(Result.err("cancelled"));
            };
            const entry: Waiting<Slot> = { deadline, answer: finish };
            const timer = setTimeout(() => {
                finish(Result.err("deadline-passed"));
            }, Math.max(0, deadline - performance.now()));
            signal.addEventListener("abort", cancel);
            insert(entry);
        });
    return {
        wait: async (deadline, limit, signal) => {
            if (isClosed) {
                return Result.err("closed");
            }
            if (signal.aborted) {
                return Result.err("cancelled");
            }
            if (waiting.length >= limit) {
                return Result.err("queue-full");
            }
            if (performance.now() + expectedWait() > deadline) {
                return Result.err("deadline-unreachable");
            }
            return enqueue(deadline, signal);
        },
        admitWaiting: take => {
            while (waiting[0] !== undefined) {
                const slot = take();
                if (slot === undefined) {
                    return;
                }
                waiting[0].answer(Result.ok(slot));
            }
        },
        length: () => waiting.length,
        expectedWait,
        recordServiceTime: milliseconds => {
            serviceTime += (milliseconds - serviceTime) * serviceTimeWeight;
        },
        close: () => {
            isClosed = true;
            for (const entry of [...waiting]) {
                entry.answer(Result.err("closed"));
            }
        },
    };
};
