import type { WorkerId } from "@jayfront/world";

import type { TaskName } from "../model/task-name.js";
import type { LateOrderDetector } from "./late-order-detector.js";
import type { Run } from "./run.js";
import type { WorkerSession } from "./worker-session.js";

/**
 * Start orders that no worker has answered. An answered stop prevents such a start from being carried out, but only in
 * the worker's current incarnation: the order could still reach the next one under the same id. Therefore, while orders
 * may be carried out late, the task may start only on the same worker. Once that incarnation is over it may start
 * nowhere, since the order could reach another incarnation that this holder doesn't know yet. If any worker has
 * restarted under its id recently, the task may start nowhere from the beginning.
 */
export interface UnansweredStarts {
    /** Adds the start of a run that was not answered. */
    readonly add: (run: Run) => void;
    /** Removes the start of a run that a worker lists: it was carried out and won't be again. */
    readonly markCarriedOut: (run: Run) => void;
    /** Records that the worker has restarted, and repeats its stops: the new incarnation doesn't know earlier ones. */
    readonly recordRestart: (session: WorkerSession) => void;
    /** Records that the worker's incarnation is over; another one may start under its id. */
    readonly recordLapse: (worker: WorkerId) => void;
    /** The only worker on which the task may start, or `nowhere`; undefined if it may start on any. */
    readonly constraintOf: (task: TaskName) => WorkerId | "nowhere" | undefined;
}

/** Options of {@link createUnansweredStarts}. */
export interface UnansweredStartsOptions {
    /** Milliseconds after which an unanswered order is no longer carried out. */
    readonly lateOrderTime: number;
    readonly lateOrderDetector: LateOrderDetector;
}

/** Maximum milliseconds for which a long-running task is constrained, since it may not be absent for more than 9 s. */
const longRunningWait = 5_000;

/** Milliseconds after a worker's restart in which other workers are expected to restart as well. */
const restartSignTime = 60_000;

interface UnansweredStart {
    readonly run: Run;
    /** Whether the incarnation of the worker that the start was sent to is over. */
    isIncarnationOver: boolean;
}

/** Creates an empty set of unanswered starts. */
export const createUnansweredStarts = (options: UnansweredStartsOptions): UnansweredStarts => {
    const { lateOrderTime, lateOrderDetector } = options;
    const starts = new Map<TaskName, UnansweredStart>();
    /** Monotonic time in ms at which a worker last restarted under its id. */
    let restartedAt = -Infinity;
    const mayArrive = ({ run }: UnansweredStart): boolean =>
        performance.now() - run.orderedAt
            < (run.step.isLasting ? Math.min(longRunningWait, lateOrderTime) : lateOrderTime);
    const startsOn = (worker: WorkerId): readonly UnansweredStart[] =>
        [...starts.values()].filter(({ run }) => run.worker === worker);
    const dropExpired = (): void => {
        for (const [task, start] of starts) {
            if (!mayArrive(start)) {
                starts.delete(task);
            }
        }
    };
    return {
        add: run => {
            dropExpired();
            starts.set(run.task, { run, isIncarnationOver: false });
        },
        markCarriedOut: run => {
            if (starts.get(run.task)?.run === run) {
                starts.delete(run.task);
            }
        },
        recordRestart: session => {
            restartedAt = performance.now();
            for (const start of startsOn(session.id)) {
                start.isIncarnationOver = true;
                if (mayArrive(start)) {
                    void session.stop(start.run.task, start.run.number);
                }
            }
        },
        recordLapse: worker => {
            startsOn(worker).forEach(start => {
                start.isIncarnationOver = true;
            });
        },
        constraintOf: task => {
            const start = starts.get(task);
            if (start === undefined || !mayArrive(start) || !lateOrderDetector.mayBeDelayed(start.run.orderedAt)) {
                return undefined;
            }
            const mayRestart = performance.now() - restartedAt < restartSignTime;
            return start.isIncarnationOver || mayRestart ? "nowhere" : start.run.worker;
        },
    };
};
