import { sleep } from "@jayfront/world";

import type { EntryHostRecord } from "../peer/host-registry.js";
import type { WorkflowNetwork } from "../peer/workflow-network.js";
import type { PackedChange } from "./packed-change.js";

/**
 * Called with the configuration version that a peer has. If it is newer than this host's version and does not arrive
 * within the grace period, it is fetched from a peer.
 */
export type CatchUp = (host: EntryHostRecord, version: number) => void;

/** Options of {@link createCatchUp}. */
export interface CatchUpOptions {
    readonly network: WorkflowNetwork;
    /** Configuration version of this host; 0 without a configuration. */
    readonly version: () => number;
    /** Hosts in order of preference; the first one is tried before the host that reported the newest version. */
    readonly preferredHosts: () => readonly EntryHostRecord[];
    /** Applies a change that was fetched from the host with the id `from`. */
    readonly applyChange: (change: PackedChange, from: string) => void;
}

/** Milliseconds for which a version may still arrive from the source or a relay before it is fetched from a peer. */
const gracePeriod = 400;
/** As {@link gracePeriod}, in milliseconds, for a host without a configuration: it can't serve requests yet. */
const gracePeriodAtStart = 100;

/** Creates a catch-up that has seen no version yet. */
export const createCatchUp = ({ network, version, preferredHosts, applyChange }: CatchUpOptions): CatchUp => {
    let newest: { readonly host: EntryHostRecord; readonly version: number; } | undefined;
    let isRunning = false;

    const isBehind = (): boolean => newest !== undefined && newest.version > version();
    const fetchFrom = async (host: EntryHostRecord): Promise<void> => {
        const answer = await network.call(host, "configuration-wanted", { version: version() });
        if (answer.isOk && answer.value !== undefined) {
            applyChange(answer.value, host.id);
        }
    };
    const catchUp = async (): Promise<void> => {
        isRunning = true;
        await sleep(version() === 0 ? gracePeriodAtStart : gracePeriod);
        const [preferredHost] = preferredHosts();
        if (preferredHost !== undefined && isBehind()) {
            await fetchFrom(preferredHost);
        }
        if (newest !== undefined && isBehind()) {
            await fetchFrom(newest.host);
        }
        isRunning = false;
    };
    return (host, peerVersion) => {
        if (peerVersion <= version()) {
            return;
        }
        if (peerVersion >= (newest?.version ?? 0)) {
            newest = { host, version: peerVersion };
        }
        if (!isRunning) {
            void catchUp();
        }
    };
};
