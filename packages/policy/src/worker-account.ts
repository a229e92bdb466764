import type { Resources, TaskId, Worker } from "@jayfront/world";
import { addResources, fitsResources } from "@jayfront/world";

/** A task attempt that an account holds resources for. */
export interface HeldTask {
    readonly task: TaskId;
    readonly attempt: number;
    readonly team: string;
    readonly batchClass: string;
    readonly resources: Resources;
    /** Milliseconds by the monotonic clock. */
    readonly startedAt: number;
    /** Share of full speed that was ordered last. */
    level: number;
}

/** The one account of a worker's resources, slots and connections. Nothing is admitted beyond what the worker holds. */
export interface WorkerAccount {
    readonly worker: () => Worker;
    readonly update: (worker: Worker) => void;
    /** Resources that no task or endpoint holds. */
    readonly free: () => Resources;
    readonly tasks: ReadonlyMap<TaskId, HeldTask>;
    /** Holds the task's resources; false where they don't fit or the task is held already. */
    readonly hold: (task: HeldTask) => boolean;
    /** Holds resources of a task that runs already, whether it fits or not. */
    readonly adopt: (task: HeldTask) => void;
    readonly release: (task: TaskId) => HeldTask | undefined;
    /** Slots and connections that no request takes; the smaller of the two. */
    readonly freeSlots: () => number;
    /** Takes a slot and a connection; false where none is free. */
    readonly admitRequest: () => boolean;
    readonly endRequest: () => void;
    /** Requests in flight that another holder admitted. */
    readonly setForeignRequests: (count: number) => void;
    readonly requestCount: () => number;
}

/** Creates the account of `worker`, on which endpoints take `reserved`. */
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
