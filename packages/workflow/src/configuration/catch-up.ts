import { sleep } from "@jayfront/world";

import type { EntryHostRecord } from "../peer/host-registry.js";
import type { WorkflowNetwork } from "../peer/workflow-network.js";
import type { PackedChange } from "./packed-change.js";

/** Notes that a peer has a version of the configuration, and fetches that if it comes no other way. */
export type CatchUp = (host: EntryHostRecord, version: number) => void;

/** Options of {@link createCatchUp}. */
export interface CatchUpOptions {
    readonly network: WorkflowNetwork;
    /** Version of this host; 0 without a configuration. */
    readonly version: () => number;
    /** Hosts to ask first, the best first. */
    readonly preferredHosts: () => readonly EntryHostRecord[];
    readonly applyChange: (change: PackedChange, from: string) => void;
}

/** Milliseconds for which a version may come from the source or from a relay before a peer is asked. */
const grace = 400;
/** The same for a host without a configuration, which serves nothing yet. */
const graceAtStart = 100;

/** Creates a catch-up that knows of no version. */
export const createCatchUp = (
    { network, version, preferredHosts: nearest, applyChange: take }: CatchUpOptions,
): CatchUp => {
    let newest: { readonly host: EntryHostRecord; readonly version: number; } | undefined;
    let isRunning = false;

    const isBehind = (): boolean => newest !== undefined && newest.version > version();
    const ask = async (host: EntryHostRecord): Promise<void> => {
        const answer = await network.call(host, "configuration-wanted", { version: version() });
        if (answer.isOk && answer.value !== undefined) {
            take(answer.value, host.id);
        }
    };
    const run = async (): Promise<void> => {
        isRunning = true;
        await sleep(version() === 0 ? graceAtStart : grace);
        const [nearestHost] = nearest();
        if (nearestHost !== undefined && isBehind()) {
            await ask(nearestHost);
        }
        if (newest !== undefined && isBehind()) {
            await ask(newest.host);
        }
        isRunning = false;
    };
    return (host, named) => {
        if (named <= version()) {
            return;
        }
        if (named >= (newest?.version ?? 0)) {
            newest = { host, version: named };
        }
        if (!isRunning) {
            void run();
        }
    };
};
