import { isDeepStrictEqual } from "node:util";

import type { Configuration } from "../model/configuration.js";
import type { Queue } from "../model/queue.js";
import type { ConfigurationChange } from "./configuration-change.js";

/** The newest configuration that this host has seen, and what changed in the versions that led to it. */
export interface ConfigurationHistory {
    readonly current: () => Configuration | undefined;
    /** Version of the current configuration; 0 without one. */
    readonly version: () => number;
    /** Takes a whole configuration; answers whether it is newer. */
    readonly replace: (configuration: Configuration) => boolean;
    /** Takes a change; answers whether it leads from the current version to a newer one. */
    readonly apply: (change: ConfigurationChange) => boolean;
    /** What leads from `version` to the current one; undefined where nothing newer is known. */
    readonly changeSince: (version: number) => ConfigurationChange | undefined;
}

/** Versions from which a change can be told without the whole. */
const longestHistory = 64;

const keyOf = ({ name, hostName, pathPrefix }: Queue): string => `${name} ${hostName} ${pathPrefix}`;

/** Creates a history without a configuration. */
export const createConfigurationHistory = (): ConfigurationHistory => {
    let current: Configuration | undefined;
    let queues = new Map<string, Queue>();
    /** Versions with which queues last changed or went, by key. */
    const changedIn = new Map<string, number>();
    const removedIn = new Map<string, number>();
    /** Versions held here; a queue that came and went between two of them is known to nobody who asks from one. */
    let held: readonly number[] = [];

    const version = (): number => current?.version ?? 0;
    const put = (configuration: Configuration, next: Map<string, Queue>): void => {
        current = configuration;
        queues = next;
        held = [...held, configuration.version].slice(-longestHistory);
        const [oldest = 0] = held;
        for (const [key, removedAt] of removedIn) {
            if (removedAt <= oldest) {
                removedIn.delete(key);
            }
        }
    };
    const remove = (key: string, removedAt: number): void => {
        changedIn.delete(key);
        removedIn.set(key, removedAt);
    };
    const change = (key: string, changedAt: number): void => {
        removedIn.delete(key);
        changedIn.set(key, changedAt);
    };
    const take = (configuration: Configuration): boolean => {
        if (configuration.version <= version()) {
            return false;
        }
        const next = new Map(configuration.queues.map(queue => [keyOf(queue), queue]));
        for (const [key, queue] of next) {
            if (!isDeepStrictEqual(queues.get(key), queue)) {
                change(key, configuration.version);
            }
        }
        for (const key of queues.keys()) {
            if (!next.has(key)) {
                remove(key, configuration.version);
            }
        }
        put(configuration, next);
        return true;
    };
    return {
        current: () => current,
        version,
        replace: take,
        apply: ({ base, changed, removed, ...rest }) => {
            if (base === undefined) {
                return take({ ...rest, queues: changed });
            }
            if (base !== version() || rest.version <= base) {
                return false;
            }
            for (const key of removed) {
                queues.delete(key);
                remove(key, rest.version);
            }
            for (const queue of changed) {
                queues.set(keyOf(queue), queue);
                change(keyOf(queue), rest.version);
            }
            put({ ...rest, queues: [...queues.values()] }, queues);
            return true;
        },
        changeSince: base => {
            if (current === undefined || current.version <= base) {
                return undefined;
            }
            const { queues: all, ...rest } = current;
            if (!held.includes(base)) {
                return { ...rest, base: undefined, changed: all, removed: [] };
            }
            return {
                ...rest,
                base,
                changed: all.filter(queue => (changedIn.get(keyOf(queue)) ?? 0) > base),
                removed: [...removedIn].filter(([, removedAt]) => removedAt > base).map(([key]) => key),
            };
        },
    };
};
