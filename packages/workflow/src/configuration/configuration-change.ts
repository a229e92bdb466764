import type { Configuration } from "../model/configuration.js";
import type { Queue } from "../model/queue.js";

/** What leads from one version of the configuration to a later one. */
export interface ConfigurationChange extends Omit<Configuration, "queues"> {
    /** Version that the change applies to; undefined where it replaces any older one. */
    readonly base: number | undefined;
    /** Queues that differ from the base or are new. */
    readonly changed: readonly Queue[];
    /** Keys of queues of the base that are gone. */
    readonly removed: readonly string[];
}
