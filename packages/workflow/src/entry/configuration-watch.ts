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
 * Keeps the newest configuration that this host has seen; its version never decreases. Relays send it to the other
 * hosts, which follow the source themselves while they know of no relay that configuration changes reach.
 */
export interface ConfigurationWatch {
    /** The newest configuration; undefined until one has been received. */
    readonly current: () => Configuration | undefined;
    /** Records a peer's version, and fetches it if it is newer and does not arrive otherwise. */
    readonly recordPeerVersion: (host: EntryHostRecord, version: number) => void;
    /** Handles a relay's notice of its version; returns this host's version. */
    readonly handleNotice: (notice: WorkflowMessages["configuration-notice"]) => number;
    /** Applies a relay's change if it fits; returns the version that this host has after it. */
    readonly handleChange: (message: WorkflowMessages["configuration-change"]) => number;
    /** The packed change from `version` to this host's version; undefined if that is not newer. */
    readonly changeSince: (version: number) => PackedChange | undefined;
    /** Sends a notice to a peer that was found or has restarted, if this host is a relay. */
    readonly handlePeerFound: (host: EntryHostRecord) => void;
    /** Follows the source and sends notices as needed, until `signal` aborts. */
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
    /** Called when a newer configuration has taken effect. */
    readonly onChange: (configuration: Configuration) => void;
}

/** Milliseconds between attempts while the source does not answer. */
const retryInterval = 200;
/** Milliseconds for which one call to the source waits for a change. */
const sourceWait = 600;
/** Milliseconds without an answer after which the source counts as lost; allows for a full wait and a large answer. */
const sourceTimeout = 1_200;
/** Milliseconds between checks whether this host should follow the source. */
const followCheckInterval = 100;
/** Milliseconds by which a region's second relay sends a version later, so that peers get most versions only once. */
const secondRelayDelay = 200;

/** Creates a watch without a configuration. */
export const createConfigurationWatch = (options: ConfigurationWatchOptions): ConfigurationWatch => {
    const { self, regions, source, network, logger, onChange } = options;
    const history = createConfigurationHistory();
    const relays = createConfigurationRelays(options);
    /** Monotonic time in ms of the source's last answer, or of the moment at which this host began to follow it. */
    let sourceContactAt = -Infinity;
    /** Monotonic time in ms of the source's last answer. */
    let sourceAnsweredAt = -Infinity;
    let isSourceLost = false;
    const hasSource = (): boolean => performance.now() - sourceContactAt < sourceTimeout || relays.hasUpstream();
    /**
     * Whether configuration changes reach this host, as reported to `peer`. Hosts of other regions stop following the
     * source because of this report, so for them it is true only if the source itself has answered this host recently.
     */
    const hasSourceFor = (peer: EntryHostRecord): boolean =>
        regions[peer.failureDomain] === regions[self.failureDomain]
            ? hasSource()
            : performance.now() - sourceAnsweredAt < sourceTimeout;
    const push = createConfigurationPush({ self, network, history, hasSource: hasSourceFor });

    const isSendingNotices = (): boolean => history.current() !== undefined && relays.isRelay(hasSource());
    const deliver = (): void => {
        if (isSendingNotices()) {
            push.deliver(relays.receivers());
        }
    };
    /** Calls `update`, which returns whether it changed the configuration; if so, puts the new one into effect. */
    const adopt = (from: string, update: () => boolean): void => {
        const previous = history.version();
        const configuration = update() ? history.current() : undefined;
        if (configuration !== undefined) {
            const { version, queues } = configuration;
            logger.info({ version, previous, from, queues: queues.length }, "configuration in force");
            onChange(configuration);
            setTimeout(deliver, relays.liveRelays().length === 0 ? 0 : secondRelayDelay);
        }
    };
    const adoptPacked = (change: PackedChange, from: string): void => {
        adopt(from, () => history.apply(packedChange.unpack(change)));
    };
    const recordPeerVersion = createCatchUp({
        network,
        version: history.version,
        preferredHosts: relays.liveRelays,
        applyChange: adoptPacked,
    });
    const recordSourceResult = (error: unknown): void => {
        const isLost = error !== undefined;
        sourceContactAt = isLost ? -Infinity : performance.now();
        sourceAnsweredAt = sourceContactAt;
        if (isLost !== isSourceLost) {
            isSourceLost = isLost;
            logger.warn({ error, version: history.version() }, `configuration source ${isLost ? "lost" : "regained"}`);
        }
    };
    /** Follows the source until relays do so for this host. */
    const followUntilRelayed = async (signal: AbortSignal): Promise<void> => {
        // The first call does not wait for a change, to find out at once whether the source answers.
        let wait = 0;
        while (!signal.aborted && relays.shouldFollowSource()) {
            const next = await source.next(history.current(), wait);
            recordSourceResult(next.isErr ? next.error : undefined);
            if (next.isErr) {
                await sleep(retryInterval, signal);
                continue;
            }
            wait = sourceWait;
            const { value } = next;
            if (value !== undefined) {
                adopt("store", () => history.replace(value));
            }
        }
    };
    const followSource = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            if (relays.shouldFollowSource()) {
                const relayIds = relays.liveRelays().map(host => host.id);
                logger.info({ version: history.version(), relays: relayIds }, "configuration source followed");
                // Notices are sent before the source's first answer, so that not all hosts replace a lost relay.
                sourceContactAt = performance.now();
                deliver();
                await followUntilRelayed(signal);
                logger.info(
                    { version: history.version(), relays: relays.liveRelays().map(host => host.id) },
                    "configuration source left to relays",
                );
            }
            await sleep(followCheckInterval, signal);
        }
    };
    const sendNotices = async (signal: AbortSignal): Promise<void> => {
        for (let round = 0; !signal.aborted; round += 1) {
            if (isSendingNotices()) {
                const isFullRound = round % slowNoticeFactor === 0;
                push.deliver(relays.receivers().filter(({ interval }) => isFullRound || interval === noticeInterval));
            }
            await sleep(noticeInterval, signal);
        }
    };
    return {
        current: history.current,
        recordPeerVersion,
        handleNotice: notice => {
            relays.recordNotice(notice.host, notice.hasSource, notice.interval);
            recordPeerVersion(notice.host, notice.version);
            return history.version();
        },
        handleChange: message => {
            relays.recordNotice(message.host, message.hasSource, message.interval);
            adoptPacked(message.change, message.host.id);
            return history.version();
        },
        changeSince: push.changeSince,
        handlePeerFound: host => {
            if (isSendingNotices()) {
                push.deliver(relays.receivers().filter(receiver => receiver.host.id === host.id));
            }
        },
        run: async signal => {
            await Promise.all([followSource(signal), sendNotices(signal)]);
        },
    };
};
