import { Result } from "true-myth";

/** Why a queue refused a request. */
export type QueueRefusal = "queue-full" | "deadline-unreachable" | "deadline-passed" | "cancelled" | "closed";

/** Result of a wait: the slot for the request, or why there is none. */
export type QueueResult<Slot> = Result<Slot, QueueRefusal>;

/** Requests that wait for a slot, earliest deadline first. */
export interface RequestQueue<Slot> {
    /**
     * Waits for a slot until `deadline`, in monotonic milliseconds. Refuses at once where `limit` requests wait already
     * or the expected wait ends after the deadline. Aborting `signal` cancels the wait.
     */
    readonly wait: (deadline: number, limit: number, signal: AbortSignal) => Promise<QueueResult<Slot>>;
    /** Gives slots to waiting requests until `takeSlot` returns none. */
    readonly admitWaiting: (takeSlot: () => Slot | undefined) => void;
    /** Number of waiting requests. */
    readonly length: () => number;
    /** Expected wait in milliseconds of a request that joins now, from recent service times. */
    readonly expectedWait: () => number;
    /** Learns for how many milliseconds a finished request occupied its slot. */
    readonly recordServiceTime: (milliseconds: number) => void;
    /** Refuses all waiting and all later requests. */
    readonly close: () => void;
}

/** Options of {@link createRequestQueue}. */
export interface RequestQueueOptions {
    /** Number of slots that serve the queue now. */
    readonly slots: () => number;
}

interface WaitingRequest<Slot> {
    readonly deadline: number;
    readonly settle: (result: QueueResult<Slot>) => void;
}

/** Service time in milliseconds that is assumed before the first request has ended. */
const initialServiceTime = 50;
/** Weight of the latest service time in the moving average. */
const serviceTimeWeight = 0.1;

/** Creates an empty queue. */
export const createRequestQueue = <Slot>({ slots }: RequestQueueOptions): RequestQueue<Slot> => {
    const waiting: WaitingRequest<Slot>[] = [];
    let serviceTime = initialServiceTime;
    let isClosed = false;
    const expectedWait = (): number => (waiting.length + 1) * serviceTime / Math.max(1, slots());
    const insert = (entry: WaitingRequest<Slot>): void => {
        const position = waiting.findIndex(other => other.deadline > entry.deadline);
        waiting.splice(position < 0 ? waiting.length : position, 0, entry);
    };
    const remove = (entry: WaitingRequest<Slot>): void => {
        const position = waiting.indexOf(entry);
        if (position >= 0) {
            waiting.splice(position, 1);
        }
    };
    const enqueue = (deadline: number, signal: AbortSignal): Promise<QueueResult<Slot>> =>
        new Promise(resolve => {
            const settle = (result: QueueResult<Slot>): void => {
                clearTimeout(timer);
                signal.removeEventListener("abort", cancel);
                remove(entry);
                resolve(result);
            };
            const cancel = (): void => {
                settle(Result.err("cancelled"));
            };
            const entry: WaitingRequest<Slot> = { deadline, settle };
            const timer = setTimeout(() => {
                settle(Result.err("deadline-passed"));
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
        admitWaiting: takeSlot => {
            while (waiting[0] !== undefined) {
                const slot = takeSlot();
                if (slot === undefined) {
                    return;
                }
                waiting[0].settle(Result.ok(slot));
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
                entry.settle(Result.err("closed"));
            }
        },
    };
};
