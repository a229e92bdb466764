import type { Configuration } from "../model/configuration.js";
import type { Queue } from "../model/queue.js";

/** Finds queues of the configuration in force by name. */
export type QueueLookup = (name: string) => Queue | undefined;

/** Creates an index that follows `configuration`; it is made anew once for each version. */
export const createQueueLookup = (configuration: () => Configuration | undefined): QueueLookup => {
    let indexed: Configuration | undefined;
    let queues: ReadonlyMap<string, Queue> = new Map();
    return name => {
        const current = configuration();
        if (current !== indexed) {
            indexed = current;
            queues = new Map(current?.queues.map(queue => [queue.name, queue]));
        }
        return queues.get(name);
    };
};
