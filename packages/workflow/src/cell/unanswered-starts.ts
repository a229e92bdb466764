import type { WorkerId } from "@jayfront/world";

import type { TaskName } from "../model/task-name.js";
import type { ExpectedStart } from "./expected-start.js";
import type { LateOrderDetector } from "./late-order-detector.js";
import type { Run } from "./run.js";
import type { StoredStarts } from "./stored-starts.js";
import type { WorkerSession } from "./worker-session.js";

/**
 * Start orders that no worker has answered. An answered stop prevents such a start from being carried out, but only in
 * the worker's current incarnation: the order could still reach the next one under the same id. Therefore, while orders
 * may be carried out late, the task may start only on the same worker. Once that incarnation is over it may start
 * nowhere, since the order could reach another incarnation that this holder doesn't know yet. If any worker has
 * restarted under its id recently, the task may start nowhere from the beginning.
 *
 * The next holder of the cell has to observe the same constraints, see {@link UnansweredStarts.snapshot}.
 */
export interface UnansweredStarts {
    /** Adds a start that has not been sent or not been answered so far, for the snapshot only: its run is still registered. */
    readonly addOverdue: (run: Run) => void;
    /** Adds the start of a run that was not answered. */
    readonly add: (run: Run) => void;
    /**
     * Removes a start that was answered, or that a worker lists as carried out: it won't be carried out again. While others
     * of its task have no answer, the snapshot still names it: the next holder takes the workers that are named for all on
     * which the task may run.
     */
    readonly remove: (worker: WorkerId, task: TaskName, run: number) => void;
    /**
     * Records that the worker has restarted, some `age` ms ago, and repeats its stops: the new incarnation doesn't know
     * earlier ones.
     */
    readonly recordRestart: (session: WorkerSession, age: number) => void;
    /** Records that the worker's incarnation is over; another one may start under its id. */
    readonly recordLapse: (worker: WorkerId) => void;
    /** The only worker on which the task may start, or `nowhere`; undefined if it may start on any. */
    readonly constraintOf: (task: TaskName) => WorkerId | "nowhere" | undefined;
    /** Whether the snapshot may name a start of the task. */
    readonly hasAny: (task: TaskName) => boolean;
    /** The starts that may still be carried out, as a later holder has to know them. */
    readonly snapshot: () => StoredStarts;
    /** Adds the starts of an earlier holder and returns them. */
    readonly inherit: (stored: StoredStarts) => readonly (ExpectedStart & { readonly worker: WorkerId; })[];
}

/** Options of {@link createUnansweredStarts}. */
export interface UnansweredStartsOptions {
    /** Milliseconds after which an unanswered order is no longer carried out. */
    readonly lateOrderTime: number;
    readonly lateOrderDetector: LateOrderDetector;
    /** Called when the result of `snapshot` has changed other than by the passage of time. */
    readonly onChange: () => void;
}

/** Maximum milliseconds for which a long-running task is constrained, since it may not be absent for more than 9 s. */
const longRunningWait = 5_000;

/** Milliseconds after a worker's restart in which other workers are expected to restart as well. */
const restartSignTime = 60_000;

interface UnansweredStart {
    readonly task: TaskName;
    readonly run: number;
    readonly worker: WorkerId;
    readonly isLasting: boolean;
    /** Monotonic time in ms. */
    orderedAt: number;
    /** Whether its answer may still come. */
    isOverdue: boolean;
    /** Whether it was answered or listed by its worker while others of its task had no answer; see `remove`. */
    isAnswered: boolean;
    /** Whether the incarnation of the worker that the start was sent to is over. */
    isIncarnationOver: boolean;
}

const groupByTask = (starts: readonly UnansweredStart[]): ReadonlyMap<TaskName, readonly UnansweredStart[]> => {
    const byTask = new Map<TaskName, UnansweredStart[]>();
    for (const start of starts) {
        const ofTask = byTask.get(start.task) ?? [];
        ofTask.push(start);
        byTask.set(start.task, ofTask);
    }
    return byTask;
};

/** Creates an empty set of unanswered starts. */
export const createUnansweredStarts = (options: UnansweredStartsOptions): UnansweredStarts => {
    const { lateOrderTime, lateOrderDetector, onChange } = options;
    let starts: readonly UnansweredStart[] = [];
    /** The starts by task; undefined after a change until the next look-up. Passes look up each task that they place. */
    let startsByTask: ReadonlyMap<TaskName, readonly UnansweredStart[]> | undefined;
    /** Monotonic time in ms at which a worker last restarted under its id. */
    let restartedAt = -Infinity;
    const mayArrive = ({ orderedAt, isLasting }: UnansweredStart): boolean =>
        performance.now() - orderedAt < (isLasting ? Math.min(longRunningWait, lateOrderTime) : lateOrderTime);
    const setStarts = (next: readonly UnansweredStart[]): void => {
        starts = next;
        startsByTask = undefined;
    };
    const startsOf = (task: TaskName): readonly UnansweredStart[] => {
        startsByTask ??= groupByTask(starts);
        return startsByTask.get(task) ?? [];
    };
    const find = (worker: WorkerId, task: TaskName, run: number): UnansweredStart | undefined =>
        startsOf(task).find(start => start.run === run && start.worker === worker);
    const findOrAdd = ({ worker, task, number, step, orderedAt }: Run): UnansweredStart => {
        const existing = find(worker, task, number);
        if (existing !== undefined) {
            existing.orderedAt = orderedAt;
            return existing;
        }
        const start: UnansweredStart = {
            task,
            run: number,
            worker,
            isLasting: step.isLasting,
            orderedAt,
            isOverdue: true,
            isAnswered: false,
            isIncarnationOver: false,
        };
        setStarts([...starts.filter(mayArrive), start]);
        onChange();
        return start;
    };
    const endIncarnation = (worker: WorkerId): readonly UnansweredStart[] => {
        const affected = starts.filter(start => start.worker === worker);
        affected.forEach(start => {
            start.isIncarnationOver = true;
        });
        if (affected.length > 0) {
            onChange();
        }
        return affected;
    };
    const mayRestart = (): boolean => performance.now() - restartedAt < restartSignTime;
    return {
        addOverdue: findOrAdd,
        add: run => {
            findOrAdd(run).isOverdue = false;
        },
        remove: (worker, task, run) => {
            const found = find(worker, task, run);
            if (found === undefined || found.isAnswered) {
                return;
            }
            if (startsOf(task).some(start => start !== found && !start.isAnswered && mayArrive(start))) {
                found.isAnswered = true;
                return;
            }
            setStarts(starts.filter(start => start.task !== task || start !== found && !start.isAnswered));
            onChange();
        },
        recordRestart: (session, age) => {
            restartedAt = Math.max(restartedAt, performance.now() - age);
            for (const start of endIncarnation(session.id)) {
                if (mayArrive(start) && !start.isOverdue && !start.isAnswered) {
                    void session.stop(start.task, start.run);
                }
            }
        },
        recordLapse: endIncarnation,
        hasAny: task => startsOf(task).length > 0,
        constraintOf: task => {
            const constraining = startsOf(task).filter(start =>
                !start.isAnswered && mayArrive(start) && lateOrderDetector.mayBeDelayed(start.orderedAt)
            );
            const [first] = constraining;
            if (first === undefined) {
                return undefined;
            }
            const isOneWorker = constraining.every(start => !start.isIncarnationOver && start.worker === first.worker);
            return isOneWorker && !mayRestart() ? first.worker : "nowhere";
        },
        snapshot: () => {
            const now = performance.now();
            setStarts(starts.filter(mayArrive));
            return {
                restartAge: mayRestart() ? now - restartedAt : undefined,
                starts: starts.map(({ task, run, worker, isLasting, orderedAt, isIncarnationOver }) => ({
                    task,
                    run,
                    worker,
                    isLasting,
                    age: now - orderedAt,
                    mayBeDelayed: lateOrderDetector.mayBeDelayed(orderedAt),
                    isIncarnationOver,
                })),
            };
        },
        inherit: stored => {
            const now = performance.now();
            restartedAt = Math.max(restartedAt, now - (stored.restartAge ?? Infinity));
            const inherited = stored.starts.map((start): UnansweredStart => {
                const { task, run, worker, isLasting, isIncarnationOver, age, mayBeDelayed } = start;
                const orderedAt = now - age;
                if (mayBeDelayed) {
                    lateOrderDetector.recordSign(orderedAt);
                }
                return {
                    task,
                    run,
                    worker,
                    isLasting,
                    orderedAt,
                    isOverdue: false,
                    isAnswered: false,
                    isIncarnationOver,
                };
            });
            setStarts([...starts, ...inherited]);
            return inherited;
        },
    };
};
