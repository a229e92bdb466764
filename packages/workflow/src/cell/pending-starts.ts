import type { WorkerReport } from "../port/worker-gateway.js";
import type { ExpectedStart } from "./expected-start.js";
import type { LateOrderDetector } from "./late-order-detector.js";

/** The start orders to one worker that were not answered and may still be carried out. */
export interface PendingStarts {
    readonly add: (start: ExpectedStart) => void;
    /**
     * Removes the starts whose runs the report lists, since an order is carried out only once. Returns whether there
     * were any.
     */
    readonly removeListed: (report: WorkerReport) => boolean;
    /** Whether any of them may still be carried out. */
    readonly hasAny: () => boolean;
    /** Monotonic time in ms up to which any of them may be carried out; -Infinity if there is none. */
    readonly latestArrival: () => number;
}

/** Options of {@link createPendingStarts}. */
export interface PendingStartsOptions {
    /** Milliseconds after which an unanswered order is no longer carried out. */
    readonly lateOrderTime: number;
    readonly lateOrderDetector: LateOrderDetector;
}

/** Creates an empty set of pending starts. */
export const createPendingStarts = ({ lateOrderTime, lateOrderDetector }: PendingStartsOptions): PendingStarts => {
    let starts: readonly ExpectedStart[] = [];
    const latestArrivalOf = ({ orderedAt }: ExpectedStart): number => orderedAt + lateOrderTime;
    const mayArrive = (start: ExpectedStart): boolean => performance.now() < latestArrivalOf(start);
    return {
        add: start => {
            starts = [...starts.filter(mayArrive), start];
        },
        removeListed: ({ running, ended }) => {
            const remaining = starts.filter(start =>
                ![...running, ...ended].some(row => row.task === start.task && row.run === start.run)
            );
            const hasRemoved = remaining.length < starts.length;
            starts = remaining;
            return hasRemoved;
        },
        hasAny: () => starts.some(start => mayArrive(start) && lateOrderDetector.mayBeDelayed(start.orderedAt)),
        latestArrival: () => Math.max(-Infinity, ...starts.map(latestArrivalOf)),
    };
};
