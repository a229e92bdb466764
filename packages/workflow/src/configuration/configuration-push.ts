import type { HostId } from "@jayfront/world";

import type { EntryHostRecord } from "../peer/host-registry.js";
import type { WorkflowNetwork } from "../peer/workflow-network.js";
import type { ConfigurationHistory } from "./configuration-history.js";
import type { NoticeReceiver } from "./configuration-relays.js";
import type { PackedChange } from "./packed-change.js";
import { packedChange } from "./packed-change.js";

/** Brings peers up to this host's version of the configuration. */
export interface ConfigurationPush {
    /** Sends peers a notice of the version, and sends the change to those that reply with an older one. */
    readonly deliver: (receivers: readonly NoticeReceiver[]) => void;
    /** The packed change from `version` to the current one; undefined if the current one is not newer. */
    readonly changeSince: (version: number) => PackedChange | undefined;
}

/** Options of {@link createConfigurationPush}. */
export interface ConfigurationPushOptions {
    readonly self: EntryHostRecord;
    readonly network: WorkflowNetwork;
    readonly history: ConfigurationHistory;
    /** Whether this host receives configuration changes, as reported to `peer`. */
    readonly hasSource: (peer: EntryHostRecord) => boolean;
}

/** Changes that are sent at the same time: all of them must cross a narrow link before the first call times out. */
const maxConcurrentChanges = 4;

/** Creates a push that has sent nothing yet. */
export const createConfigurationPush = (options: ConfigurationPushOptions): ConfigurationPush => {
    const { self, network, history, hasSource } = options;
    /** Peers with a delivery in progress; each gets one call at a time. */
    const peersInDelivery = new Set<HostId>();
    /** Resolve functions of sends that wait until fewer than {@link maxConcurrentChanges} are in flight. */
    const waitingSends: (() => void)[] = [];
    let sendsInFlight = 0;
    /** Packed changes that lead to `packedVersion`, by the version that they start from. */
    const packedChanges = new Map<number, PackedChange>();
    let packedVersion = 0;

    const changeSince = (version: number): PackedChange | undefined => {
        if (packedVersion !== history.version()) {
            packedChanges.clear();
            packedVersion = history.version();
        }
        const cached = packedChanges.get(version);
        if (cached !== undefined) {
            return cached;
        }
        const change = history.changeSince(version);
        if (change === undefined) {
            return undefined;
        }
        const packed = packedChange.pack(change);
        packedChanges.set(version, packed);
        return packed;
    };
    /** Sends the change from `version` to the version that is then current; resolves to the peer's new version. */
    const send = async ({ host: peer, interval }: NoticeReceiver, version: number): Promise<number | undefined> => {
        if (sendsInFlight >= maxConcurrentChanges) {
            await new Promise<void>(resolve => {
                waitingSends.push(resolve);
            });
        }
        sendsInFlight += 1;
        const change = changeSince(version);
        const answer = change === undefined
            ? undefined
            : await network.call(peer, "configuration-change", {
                host: self,
                hasSource: hasSource(peer),
                interval,
                change,
            });
        sendsInFlight -= 1;
        waitingSends.shift()?.();
        return answer?.isOk === true ? answer.value : undefined;
    };
    const announceTo = async ({ host: peer, interval }: NoticeReceiver): Promise<number | undefined> => {
        const notice = { host: self, hasSource: hasSource(peer), interval, version: history.version() };
        const answer = await network.call(peer, "configuration-notice", notice);
        return answer.isOk ? answer.value : undefined;
    };
    const deliverTo = async (receiver: NoticeReceiver): Promise<void> => {
        const { id } = receiver.host;
        if (peersInDelivery.has(id)) {
            return;
        }
        peersInDelivery.add(id);
        let peerVersion = await announceTo(receiver);
        // A change does not apply if the peer has meanwhile received another version from elsewhere.
        while (peerVersion !== undefined && peerVersion < history.version()) {
            peerVersion = await send(receiver, peerVersion);
        }
        peersInDelivery.delete(id);
    };
    return {
        deliver: receivers => {
            receivers.forEach(receiver => void deliverTo(receiver));
        },
        changeSince,
    };
};
