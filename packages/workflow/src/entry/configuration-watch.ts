import { sleep } from "@jayfront/world";
import type { Logger } from "pino";

import type { Configuration } from "../model/configuration.js";
import type { EntryHostRecord } from "../peer/host-registry.js";
import type { WorkflowNetwork } from "../peer/workflow-network.js";
import type { ConfigurationSource } from "../port/configuration-source.js";

/** Keeps the newest configuration that this host has seen; it never goes back. */
export interface ConfigurationWatch {
    readonly current: () => Configuration | undefined;
    /** A peer has a version that may be newer. */
    readonly noteVersion: (host: EntryHostRecord, version: number) => void;
    readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Options of {@link createConfigurationWatch}. */
export interface ConfigurationWatchOptions {
    readonly source: ConfigurationSource;
    readonly network: WorkflowNetwork;
    readonly logger: Logger;
    readonly onChange: (configuration: Configuration) => void;
}

/** Milliseconds between tries while the source does not answer. */
const retryInterval = 200;

/** Creates a watch without a configuration. */
export const createConfigurationWatch = (options: ConfigurationWatchOptions): ConfigurationWatch => {
    const { source, network, logger, onChange } = options;
    let current: Configuration | undefined;
    let isAsking = false;
    let isSourceLost = false;

    const take = (configuration: Configuration, from: string): void => {
        if (configuration.version > (current?.version ?? 0)) {
            logger.info({
                version: configuration.version,
                previous: current?.version,
                from,
                queues: configuration.queues.length,
            }, "configuration in force");
            current = configuration;
            onChange(configuration);
        }
    };
    const askPeer = async (host: EntryHostRecord): Promise<void> => {
        isAsking = true;
        const answer = await network.call(host, "configuration-wanted", {});
        isAsking = false;
        if (answer.isOk && answer.value !== undefined) {
            take(answer.value, host.id);
        }
    };
    return {
        current: () => current,
        noteVersion: (host, version) => {
            if (version > (current?.version ?? 0) && !isAsking) {
                void askPeer(host);
            }
        },
        run: async signal => {
            while (!signal.aborted) {
                const next = await source.next(current?.version);
                if (next.isErr !== isSourceLost) {
                    isSourceLost = next.isErr;
                    logger.warn(
                        { error: next.isErr ? next.error : undefined },
                        `configuration source ${next.isErr ? "lost" : "regained"}`,
                    );
                }
                if (next.isErr) {
                    await sleep(retryInterval, signal);
                }
                else if (next.value !== undefined) {
                    take(next.value, "store");
                }
            }
        },
    };
};
