import type { Configuration } from "../model/configuration.js";
import type { Queue } from "../model/queue.js";

/** Finds the queue for a request's host name and path: of the matching ones, that with the longest path prefix. */
export const findQueue = (configuration: Configuration, hostName: string, path: string): Queue | undefined =>
    configuration.queues
        .filter(queue => queue.hostName === hostName && path.startsWith(queue.pathPrefix))
        .sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)[0];
