import { sleep } from "@jayfront/world";
import type { Logger } from "pino";

import { createCatchUp } from "../configuration/catch-up.js";
import { createConfigurationHistory } from "../configuration/configuration-history.js";
import { createConfigurationPush } from "../configuration/configuration-push.js";
import { createConfigurationRelays, noticeInterval, slowNoticeFactor } from "../configuration/configuration-relays.js";
import type { PackedChange } from "../configuration/packed-change.js";
import { packedChange } from "../configuration/packed-change.js";
import type { Configuration } from "../model/configuration.js";
import type { EntryHostRecord } from "../peer/host-registry.js";
import type { WorkflowMessages } from "../peer/workflow-message.js";
import type { WorkflowNetwork } from "../peer/workflow-network.js";
import type { ConfigurationSource } from "../port/configuration-source.js";

/**
 * Keeps the newest configuration that this host has seen; it never goes back. Relays tell it to the others, which
 * follow the source themselves when they hear of no relay that news reach.
 */
export interface ConfigurationWatch {
    readonly current: () => Configuration | undefined;
    /** A peer has a version that may be newer. */
    readonly recordPeerVersion: (host: EntryHostRecord, version: number) => void;
    /** A relay tells its version; answers this host's. */
    readonly handleNotice: (notice: WorkflowMessages["configuration-notice"]) => number;
    /** A relay sends a change; answers the version that this host then has. */
    readonly handleChange: (message: WorkflowMessages["configuration-change"]) => number;
    /** What leads from `version` to this host's; undefined where nothing newer is known. */
    readonly changeSince: (version: number) => PackedChange | undefined;
    /** A peer was found or has a new life. */
    readonly handlePeerFound: (host: EntryHostRecord) => void;
    readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Options of {@link createConfigurationWatch}. */
export interface ConfigurationWatchOptions {
    readonly self: EntryHostRecord;
    /** Regions by failure domain. */
    readonly regions: Readonly<Record<string, string>>;
    readonly peers: () => readonly EntryHostRecord[];
    readonly source: ConfigurationSource;
    readonly network: WorkflowNetwork;
    readonly logger: Logger;
    readonly onChange: (configuration: Configuration) => void;
}

/** Milliseconds between tries while the source does not answer. */
const retryInterval = 200;
/** Milliseconds for which one call to the source waits for a change. */
const followWait = 600;
/** Milliseconds without an answer after which a source counts as lost: a call's wait, and the way of a large answer. */
const sourceLimit = 1_200;
/** Milliseconds between looks at whether the source is to be followed. */
const lookInterval = 100;
/** Milliseconds by which the second relay waits, so that peers get most versions once. */
const secondRelayDelay = 200;

/** Creates a watch without a configuration. */
export const createConfigurationWatch = (options: ConfigurationWatchOptions): ConfigurationWatch => {
    const { self, regions, source, network, logger, onChange } = options;
    const history = createConfigurationHistory();
    const relays = createConfigurationRelays(options);
    /** Steady ms of the source's last answer, or of the moment at which this host began to follow it. */
    let sourceHeardAt = -Infinity;
    /** Steady ms of the source's last answer. */
    let answeredAt = -Infinity;
    let isSourceLost = false;
    const hasSource = (): boolean => performance.now() - sourceHeardAt < sourceLimit || relays.hasUpstream();
    /**
     * What a peer is told. Other regions stop following the source on this word, so that neither a source that has not
     * answered yet counts there, nor one that this host only knows from another region.
     */
    const hasSourceFor = (peer: EntryHostRecord): boolean =>
        regions[peer.failureDomain] === regions[self.failureDomain]
            ? hasSource()
            : performance.now() - answeredAt < sourceLimit;
    const push = createConfigurationPush({ self, network, history, hasSource: hasSourceFor });

    const isTelling = (): boolean => history.current() !== undefined && relays.isRelay(hasSource());
    const deliver = (): void => {
        if (isTelling()) {
            push.deliver(relays.receivers());
        }
    };
    /** Takes a newer configuration by `take`, which says whether it is one. */
    const takeFrom = (from: string, take: () => boolean): void => {
        const previous = history.version();
        const configuration = take() ? history.current() : undefined;
        if (configuration !== undefined) {
            const { version, queues } = configuration;
            logger.info({ version, previous, from, queues: queues.length }, "configuration in force");
            onChange(configuration);
            setTimeout(deliver, relays.liveRelays().length === 0 ? 0 : secondRelayDelay);
        }
    };
    const takePacked = (change: PackedChange, from: string): void => {
        takeFrom(from, () => history.apply(packedChange.unpack(change)));
    };
    const noteVersion = createCatchUp({
        network,
        version: history.version,
        preferredHosts: relays.liveRelays,
        applyChange: takePacked,
    });
    const noteSource = (error: unknown): void => {
        const isLost = error !== undefined;
        sourceHeardAt = isLost ? -Infinity : performance.now();
        answeredAt = sourceHeardAt;
        if (isLost !== isSourceLost) {
            isSourceLost = isLost;
            logger.warn({ error, version: history.version() }, `configuration source ${isLost ? "lost" : "regained"}`);
        }
    };
    /** Follows the source until relays do it for this host. */
    const follow = async (signal: AbortSignal): Promise<void> => {
        // The first answer tells at once whether the source is there.
        let wait = 0;
        while (!signal.aborted && relays.shouldFollowSource()) {
            const next = await source.next(history.current(), wait);
            noteSource(next.isErr ? next.error : undefined);
            if (next.isErr) {
                await sleep(retryInterval, signal);
                continue;
            }
            wait = followWait;
            const { value } = next;
            if (value !== undefined) {
                takeFrom("store", () => history.replace(value));
            }
        }
    };
    const runFollow = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            if (relays.shouldFollowSource()) {
                const relaysHeard = relays.liveRelays().map(host => host.id);
                logger.info({ version: history.version(), relays: relaysHeard }, "configuration source followed");
                // Said before the first answer, so that one host takes a lost relay's place and not all.
                sourceHeardAt = performance.now();
                deliver();
                await follow(signal);
                logger.info(
                    { version: history.version(), relays: relays.liveRelays().map(host => host.id) },
                    "configuration source left to relays",
                );
            }
            await sleep(lookInterval, signal);
        }
    };
    const runNotices = async (signal: AbortSignal): Promise<void> => {
        for (let beat = 0; !signal.aborted; beat += 1) {
            if (isTelling()) {
                const isTurnOfAll = beat % slowNoticeFactor === 0;
                push.deliver(relays.receivers().filter(({ interval }) => isTurnOfAll || interval === noticeInterval));
            }
            await sleep(noticeInterval, signal);
        }
    };
    return {
        current: history.current,
        recordPeerVersion: noteVersion,
        handleNotice: notice => {
            relays.recordNotice(notice.host, notice.hasSource, notice.interval);
            noteVersion(notice.host, notice.version);
            return history.version();
        },
        handleChange: message => {
            relays.recordNotice(message.host, message.hasSource, message.interval);
            takePacked(message.change, message.host.id);
            return history.version();
        },
        changeSince: push.changeSince,
        handlePeerFound: host => {
            if (isTelling()) {
                push.deliver(relays.receivers().filter(receiver => receiver.host.id === host.id));
            }
        },
        run: async signal => {
            await Promise.all([runFollow(signal), runNotices(signal)]);
        },
    };
};
