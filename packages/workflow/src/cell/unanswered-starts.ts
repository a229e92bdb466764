import type { WorkerId } from "@jayfront/world";

import type { TaskName } from "../model/task-name.js";
import type { LateOrderDetector } from "./late-order-detector.js";
import type { Run } from "./run.js";
import type { WorkerSession } from "./worker-session.js";

/**
 * Starts that no worker has answered. A stop that is answered keeps such a start from being carried out, but only in
 * the worker's present life: in its next one, under the same id, the start could still come. So while orders are
 * carried out late the task runs on the same worker, and once that life is over nowhere: another one may follow of
 * which nobody knows when the start comes. While workers start anew under their ids, it runs nowhere from the first.
 */
export interface UnansweredStarts {
    readonly add: (run: Run) => void;
    /** The start was carried out, so that it won't be once more. */
    readonly markCarriedOut: (run: Run) => void;
    /** The worker has begun a new life, which knows nothing of stops that were ordered before. */
    readonly recordRestart: (session: WorkerSession) => void;
    /** The worker's life is over; another one may begin under its id. */
    readonly recordLapse: (worker: WorkerId) => void;
    /** The worker on which alone the task may start, or `nowhere`; undefined where any will do. */
    readonly constraintOf: (task: TaskName) => WorkerId | "nowhere" | undefined;
}

/** Options of {@link createUnansweredStarts}. */
export interface UnansweredStartsOptions {
    /** Milliseconds after which an order without answer is not carried out any more. */
    readonly lateOrderTime: number;
    readonly lateOrderDetector: LateOrderDetector;
}

/** Milliseconds for which a task that lasts is bound at most: it may not stay away for longer than 9 s. */
const lastingBond = 5_000;

/** Milliseconds for which one worker that starts anew is a sign that others will. */
const rebirthReach = 60_000;

interface UnansweredStart {
    readonly run: Run;
    /** Whether the life of the worker that the start was sent to is over. */
    isOrphaned: boolean;
}

/** Creates a record without starts. */
export const createUnansweredStarts = (options: UnansweredStartsOptions): UnansweredStarts => {
    const { lateOrderTime, lateOrderDetector } = options;
    const starts = new Map<TaskName, UnansweredStart>();
    /** Steady ms of the last birth of a worker under an id that it had. */
    let rebornAt = -Infinity;
    const mayCome = ({ run }: UnansweredStart): boolean =>
        performance.now() - run.orderedAt < (run.step.isLasting ? Math.min(lastingBond, lateOrderTime) : lateOrderTime);
    const ofWorker = (worker: WorkerId): readonly UnansweredStart[] =>
        [...starts.values()].filter(({ run }) => run.worker === worker);
    const dropOld = (): void => {
        for (const [task, start] of starts) {
            if (!mayCome(start)) {
                starts.delete(task);
            }
        }
    };
    return {
        add: run => {
            dropOld();
            starts.set(run.task, { run, isOrphaned: false });
        },
        markCarriedOut: run => {
            if (starts.get(run.task)?.run === run) {
                starts.delete(run.task);
            }
        },
        recordRestart: session => {
            rebornAt = performance.now();
            for (const start of ofWorker(session.id)) {
                start.isOrphaned = true;
                if (mayCome(start)) {
                    void session.stop(start.run.task, start.run.number);
                }
            }
        },
        recordLapse: worker => {
            ofWorker(worker).forEach(start => {
                start.isOrphaned = true;
            });
        },
        constraintOf: task => {
            const start = starts.get(task);
            if (start === undefined || !mayCome(start) || !lateOrderDetector.mayBeDelayed(start.run.orderedAt)) {
                return undefined;
            }
            const mayBeReborn = performance.now() - rebornAt < rebirthReach;
            return start.isOrphaned || mayBeReborn ? "nowhere" : start.run.worker;
        },
    };
};
