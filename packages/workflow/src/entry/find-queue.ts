import type { Configuration } from "../model/configuration.js";
import type { Queue } from "../model/queue.js";

/** The queue that a request's host name and path select: the one with the longest matching prefix. */
export const findQueue = (configuration: Configuration, hostName: string, path: string): Queue | undefined =>
    configuration.queues
        .filter(queue => queue.hostName === hostName && path.startsWith(queue.pathPrefix))
        .sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)[0];
