import type { Configuration } from "../model/configuration.js";
import type { Queue } from "../model/queue.js";

/** Finds a queue of the current configuration by name. */
export type QueueLookup = (name: string) => Queue | undefined;

/** Creates a lookup that follows `configuration` and rebuilds its map whenever that returns another object. */
export const createQueueLookup = (configuration: () => Configuration | undefined): QueueLookup => {
    let indexedConfiguration: Configuration | undefined;
    let queues: ReadonlyMap<string, Queue> = new Map();
    return name => {
        const current = configuration();
        if (current !== indexedConfiguration) {
            indexedConfiguration = current;
            queues = new Map(current?.queues.map(queue => [queue.name, queue]));
        }
        return queues.get(name);
    };
};
