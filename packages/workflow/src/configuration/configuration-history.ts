import { isDeepStrictEqual } from "node:util";

import type { Configuration } from "../model/configuration.js";
import type { Queue } from "../model/queue.js";
import type { ConfigurationChange } from "./configuration-change.js";

/** The newest configuration that this host has seen, and what changed in the recent versions before it. */
export interface ConfigurationHistory {
    /** The newest configuration; undefined if there is none yet. */
    readonly current: () => Configuration | undefined;
    /** Version of the current configuration; 0 if there is none. */
    readonly version: () => number;
    /** Replaces the current configuration if `configuration` is newer; returns whether it is. */
    readonly replace: (configuration: Configuration) => boolean;
    /** Applies a change if it leads from the current version to a newer one; returns whether it does. */
    readonly apply: (change: ConfigurationChange) => boolean;
    /** The change that leads from `version` to the current one; undefined if the current one is not newer. */
    readonly changeSince: (version: number) => ConfigurationChange | undefined;
}

/** Number of recent versions from which a change can be computed; hosts with other versions get all queues. */
const maxRecentVersions = 64;

const keyOf = ({ name, hostName, pathPrefix }: Queue): string => `${name} ${hostName} ${pathPrefix}`;

/** Creates a history that has no configuration yet. */
export const createConfigurationHistory = (): ConfigurationHistory => {
    let current: Configuration | undefined;
    let queues = new Map<string, Queue>();
    /** Version in which each queue last changed or was removed, by key. */
    const changeVersions = new Map<string, number>();
    const removalVersions = new Map<string, number>();
    /**
     * Recent versions that this host has had, oldest first. A change can only start from one of them: a queue that was
     * added and removed between two of them was never seen here, so its removal would be missing.
     */
    let recentVersions: readonly number[] = [];

    const version = (): number => current?.version ?? 0;
    const setCurrent = (configuration: Configuration, next: Map<string, Queue>): void => {
        current = configuration;
        queues = next;
        recentVersions = [...recentVersions, configuration.version].slice(-maxRecentVersions);
        const [oldestVersion = 0] = recentVersions;
        for (const [key, removalVersion] of removalVersions) {
            if (removalVersion <= oldestVersion) {
                removalVersions.delete(key);
            }
        }
    };
    const markRemoved = (key: string, removalVersion: number): void => {
        changeVersions.delete(key);
        removalVersions.set(key, removalVersion);
    };
    const markChanged = (key: string, changeVersion: number): void => {
        removalVersions.delete(key);
        changeVersions.set(key, changeVersion);
    };
    const replace = (configuration: Configuration): boolean => {
        if (configuration.version <= version()) {
            return false;
        }
        const next = new Map(configuration.queues.map(queue => [keyOf(queue), queue]));
        for (const [key, queue] of next) {
            if (!isDeepStrictEqual(queues.get(key), queue)) {
                markChanged(key, configuration.version);
            }
        }
        for (const key of queues.keys()) {
            if (!next.has(key)) {
                markRemoved(key, configuration.version);
            }
        }
        setCurrent(configuration, next);
        return true;
    };
    return {
        current: () => current,
        version,
        replace,
        apply: ({ base, changed, removed, ...rest }) => {
            if (base === undefined) {
                return replace({ ...rest, queues: changed });
            }
            if (base !== version() || rest.version <= base) {
                return false;
            }
            for (const key of removed) {
                queues.delete(key);
                markRemoved(key, rest.version);
            }
            for (const queue of changed) {
                queues.set(keyOf(queue), queue);
                markChanged(keyOf(queue), rest.version);
            }
            setCurrent({ ...rest, queues: [...queues.values()] }, queues);
            return true;
        },
        changeSince: base => {
            if (current === undefined || current.version <= base) {
                return undefined;
            }
            const { queues: allQueues, ...rest } = current;
            if (!recentVersions.includes(base)) {
                return { ...rest, base: undefined, changed: allQueues, removed: [] };
            }
            return {
                ...rest,
                base,
                changed: allQueues.filter(queue => (changeVersions.get(keyOf(queue)) ?? 0) > base),
                removed: [...removalVersions].filter(([, removalVersion]) => removalVersion > base).map(([key]) => key),
            };
        },
    };
};
