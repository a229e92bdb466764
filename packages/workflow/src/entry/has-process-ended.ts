import { sleep } from "@jayfront/world";

import type { EntryHostRecord } from "../peer/host-registry.js";
import type { WorkflowNetwork } from "../peer/workflow-network.js";

/** Options of {@link hasProcessEnded}. */
export interface HasProcessEndedOptions {
    readonly network: WorkflowNetwork;
    readonly self: EntryHostRecord;
    /** The host whose connection has closed. */
    readonly host: EntryHostRecord;
}

/** Calls to the host; the first one may still use a connection of the ended process, which fails. */
const attempts = 2;
/** Milliseconds between them. */
const attemptInterval = 50;
/** Milliseconds within which a host refuses a connection if no process listens. A process that is late takes longer. */
const maxRefusalTime = 400;

/**
 * Resolves to whether the process of a host whose connection has closed has ended, so that its host refuses connections.
 * A late process closes its connections too, when its calls time out, and accepts new ones late.
 */
export const hasProcessEnded = async ({ network, self, host }: HasProcessEndedOptions): Promise<boolean> => {
    let isRefused = false;
    for (let attempt = 0; attempt < attempts; attempt += 1) {
        const sentAt = performance.now();
        const answer = await network.call(host, "hello", { host: self });
        if (answer.isOk || performance.now() - sentAt > maxRefusalTime) {
            return false;
        }
        isRefused = answer.error.kind === "not-sent";
        await sleep(attemptInterval);
    }
    return isRefused;
};
