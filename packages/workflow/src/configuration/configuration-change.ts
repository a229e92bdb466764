import type { Configuration } from "../model/configuration.js";
import type { Queue } from "../model/queue.js";

/** The difference between one version of the configuration and a later one. Fields other than queues are sent whole. */
export interface ConfigurationChange extends Omit<Configuration, "queues"> {
    /** Version that the change applies to; undefined if the change replaces any older version. */
    readonly base: number | undefined;
    /** Queues that are new or differ from those of the base version. */
    readonly changed: readonly Queue[];
    /** Keys of queues of the base version that no longer exist. */
    readonly removed: readonly string[];
}
