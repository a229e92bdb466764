import type { Resources, TaskId, Worker } from "@jayfront/world";
import { addResources, fitsResources } from "@jayfront/world";

/** A task attempt whose resources an account holds. */
export interface HeldTask {
    readonly task: TaskId;
    readonly attempt: number;
    readonly team: string;
    readonly batchClass: string;
    readonly resources: Resources;
    /** Monotonic time in milliseconds. */
    readonly startedAt: number;
    /** Throttle level that was ordered last: share of full speed, from 0 to 1. */
    level: number;
}

/**
 * The only account of a worker's resources, slots and connections. No task is held and no request admitted beyond what
 * the worker has; only adopted tasks may exceed it.
 */
export interface WorkerAccount {
    /** Current description of the worker. */
    readonly worker: () => Worker;
    /** Replaces the description of the worker. */
    readonly update: (worker: Worker) => void;
    /** Resources that no task or endpoint holds; negative where adopted tasks take more than there is. */
    readonly free: () => Resources;
    /** Tasks whose resources are held. */
    readonly tasks: ReadonlyMap<TaskId, HeldTask>;
    /** Holds the task's resources; returns false where they don't fit or are held already. */
    readonly hold: (task: HeldTask) => boolean;
    /** Holds the resources of a task that runs already, whether or not they fit. */
    readonly adopt: (task: HeldTask) => void;
    /** Frees the task's resources and returns the task; undefined where it is not held. */
    readonly release: (task: TaskId) => HeldTask | undefined;
    /** Number of requests that can be admitted now: the smaller of free slots and free connections. */
    readonly freeSlots: () => number;
    /** Takes a slot and a connection; returns false where none is free. */
    readonly admitRequest: () => boolean;
    /** Frees the slot and the connection of one admitted request. */
    readonly endRequest: () => void;
    /** Sets the number of requests in flight that were admitted under earlier fences. */
    readonly setForeignRequests: (count: number) => void;
    /** Number of requests in flight, those admitted under earlier fences included. */
    readonly requestCount: () => number;
}

/** Creates the account of a worker, on which endpoints take `reserved`. */
export const createWorkerAccount = (initial: Worker, reserved: Resources): WorkerAccount => {
    let worker = initial;
    let free = addResources(worker.resources, reserved, -1);
    let ownRequests = 0;
    let foreignRequests = 0;
    const tasks = new Map<TaskId, HeldTask>();
    const freeSlots = (): number => Math.min(worker.slots, worker.connections) - ownRequests - foreignRequests;
    const adopt = (task: HeldTask): void => {
        if (!tasks.has(task.task)) {
            tasks.set(task.task, task);
            free = addResources(free, task.resources, -1);
        }
    };
    return {
        worker: () => worker,
        update: next => {
            free = addResources(free, addResources(next.resources, worker.resources, -1));
            worker = next;
        },
        free: () => free,
        tasks,
        hold: task => {
            if (tasks.has(task.task) || !fitsResources(task.resources, free)) {
                return false;
            }
            adopt(task);
            return true;
        },
        adopt,
        release: task => {
            const held = tasks.get(task);
            if (held !== undefined) {
                tasks.delete(task);
                free = addResources(free, held.resources);
            }
            return held;
        },
        freeSlots,
        admitRequest: () => {
            if (freeSlots() <= 0) {
                return false;
            }
            ownRequests += 1;
            return true;
        },
        endRequest: () => {
            ownRequests -= 1;
        },
        setForeignRequests: count => {
            foreignRequests = count;
        },
        requestCount: () => ownRequests + foreignRequests,
    };
};
