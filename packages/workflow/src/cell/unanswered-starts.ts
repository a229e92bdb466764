import type { WorkerId } from "@jayfront/world";

import type { TaskName } from "../model/task-name.js";
import type { LateOrders } from "./late-orders.js";
import type { Run } from "./run.js";
import type { WorkerSession } from "./worker-session.js";

/**
 * Starts that no worker has answered. A stop that is answered keeps such a start from being carried out, but only in
 * the worker's present life: in its next one, under the same id, the start could still come. So while orders are
 * carried out late the task runs on the same worker or waits.
 */
export interface UnansweredStarts {
    readonly note: (run: Run) => void;
    /** The start was carried out, so that it won't be once more. */
    readonly noteSeen: (run: Run) => void;
    /** The worker has begun a new life, which knows nothing of stops that were ordered before. */
    readonly noteReborn: (session: WorkerSession) => void;
    /** The worker is gone for good. */
    readonly noteGone: (worker: WorkerId) => void;
    /** The worker on which alone the task may start, or `nowhere`; undefined where any will do. */
    readonly placeOf: (task: TaskName) => WorkerId | "nowhere" | undefined;
}

/** Options of {@link createUnansweredStarts}. */
export interface UnansweredStartsOptions {
    /** Milliseconds after which an order without answer is not carried out any more. */
    readonly lateOrderTime: number;
    readonly lateOrders: LateOrders;
}

/** Milliseconds for which a task that lasts is bound at most: it may not stay away for longer than 9 s. */
const lastingBond = 5_000;

interface UnansweredStart {
    readonly run: Run;
    /** Whether the worker's present life has yet to hear that the start must not be carried out. */
    isOpen: boolean;
}

/** Creates a record without starts. */
export const createUnansweredStarts = (options: UnansweredStartsOptions): UnansweredStarts => {
    const { lateOrderTime, lateOrders } = options;
    const starts = new Map<TaskName, UnansweredStart>();
    const mayCome = ({ run }: UnansweredStart): boolean =>
        performance.now() - run.orderedAt < (run.step.isLasting ? Math.min(lastingBond, lateOrderTime) : lateOrderTime);
    const dropOld = (): void => {
        for (const [task, start] of starts) {
            if (!mayCome(start)) {
                starts.delete(task);
            }
        }
    };
    return {
        note: run => {
            dropOld();
            starts.set(run.task, { run, isOpen: false });
        },
        noteSeen: run => {
            if (starts.get(run.task)?.run === run) {
                starts.delete(run.task);
            }
        },
        noteReborn: session => {
            for (const start of starts.values()) {
                const { run } = start;
                if (run.worker === session.id && mayCome(start)) {
                    start.isOpen = true;
                    void session.stop(run.task, run.number).then(isAnswered => {
                        start.isOpen = !isAnswered;
                    });
                }
            }
        },
        noteGone: worker => {
            for (const [task, { run }] of starts) {
                if (run.worker === worker) {
                    starts.delete(task);
                }
            }
        },
        placeOf: task => {
            const start = starts.get(task);
            if (start === undefined || !mayCome(start) || !lateOrders.mayInclude(start.run.orderedAt)) {
                return undefined;
            }
            return start.isOpen ? "nowhere" : start.run.worker;
        },
    };
};
