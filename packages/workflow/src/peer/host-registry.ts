import type { FailureDomainId, HostId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import type { Logger } from "pino";

import { tables } from "../cell/tables.js";
import type { StateStore } from "../port/state-store.js";

/** An entry host as it registers itself. */
export interface EntryHostRecord {
    readonly id: HostId;
    readonly failureDomain: FailureDomainId;
    /** `IP:port` on which other entry hosts are served. */
    readonly peerAddress: string;
    /** Differs between two lives of the host. */
    readonly incarnation: string;
    /** Milliseconds that the store took to answer the host when it started. */
    readonly storeDelay: number;
    /** Cores of its processor. */
    readonly processors: number;
}

/** Knows the other entry hosts, by their rows in the store and by what they say of themselves. */
export interface HostRegistry {
    readonly peers: () => readonly EntryHostRecord[];
    /** A peer has said something itself. */
    readonly note: (host: EntryHostRecord) => void;
    /** Reads the others' rows now; false where the store does not answer. */
    readonly read: () => Promise<boolean>;
    /** Registers this host and reads the others until `signal` aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Options of {@link createHostRegistry}. */
export interface HostRegistryOptions {
    readonly self: EntryHostRecord;
    readonly store: StateStore;
    readonly logger: Logger;
    /** Called once for each host, and again for each new life of it. */
    readonly onFound: (host: EntryHostRecord) => void;
}

/** Milliseconds between writes of this host's row. */
const writeInterval = 5_000;
/** Milliseconds between reads of the others' rows; hosts that start also say so themselves. */
const readInterval = 2_500;
/** Milliseconds between tries while the store does not answer. */
const retryInterval = 300;
/** Milliseconds without a sign of life after which a host counts as gone: three missed writes. */
const goneAfter = 15_000;

/** Milliseconds after which the row of a host that is gone is removed; longer than any outage that a host comes back from. */
const removeAfter = 600_000;

/** What counts of a host whose row, written by an earlier release, does not tell. */
const defaults: Pick<EntryHostRecord, "processors"> = { processors: 1 };

interface Seen {
    host: EntryHostRecord;
    version: number;
    seenAt: number;
}

/** Creates a registry that knows nobody. */
export const createHostRegistry = ({ self, store, logger, onFound }: HostRegistryOptions): HostRegistry => {
    const hosts = new Map<HostId, Seen>();
    /** Hosts that are gone, as their rows last showed them. */
    const gone = new Map<HostId, Seen>();
    const take = (host: EntryHostRecord, version: number | undefined): void => {
        const known = hosts.get(host.id);
        const isNews = version === undefined || (known ?? gone.get(host.id))?.version !== version;
        if (host.id === self.id || !isNews) {
            return;
        }
        gone.delete(host.id);
        hosts.set(host.id, { host, version: version ?? known?.version ?? 0, seenAt: performance.now() });
        if (known?.host.incarnation !== host.incarnation) {
            logger.info(
                { peer: host.id, address: host.peerAddress, incarnation: host.incarnation },
                "entry host found",
            );
            onFound(host);
        }
    };
    const write = async (): Promise<boolean> => {
        const written = await store.commit({
            checks: [],
            writes: [{ ...tables.host(self.id), value: JSON.stringify(self) }],
        });
        return written.isOk;
    };
    const removeOldRows = async (): Promise<void> => {
        for (const [id, { seenAt, version }] of gone) {
            if (performance.now() - seenAt > removeAfter) {
                const key = tables.host(id);
                const removed = await store.commit({ checks: [{ ...key, version }], writes: [], removals: [key] });
                // A conflict tells that another host was faster, or that the host is back.
                if (removed.isOk || removed.error.kind === "conflict") {
                    gone.delete(id);
                    logger.info({ peer: id, wasOurs: removed.isOk }, "entry host forgotten");
                }
            }
        }
    };
    const read = async (): Promise<boolean> => {
        const { table, partition } = tables.host("");
        const answer = await store.read(table, partition);
        if (answer.isErr) {
            return false;
        }
        for (const row of answer.value.rows) {
            take({ ...defaults, ...JSON.parse(row.value) as EntryHostRecord }, row.version);
        }
        for (const [id, seen] of hosts) {
            if (performance.now() - seen.seenAt > goneAfter) {
                hosts.delete(id);
                gone.set(id, seen);
                logger.info({ peer: id, address: seen.host.peerAddress }, "entry host gone");
            }
        }
        await removeOldRows();
        return true;
    };
    const repeat = async (action: () => Promise<boolean>, interval: number, signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            await sleep(await action() ? interval : retryInterval, signal);
        }
    };
    return {
        peers: () => [...hosts.values()].map(seen => seen.host),
        note: host => {
            take(host, undefined);
        },
        read,
        run: async signal => {
            await Promise.all([
                repeat(write, writeInterval, signal),
                repeat(read, readInterval, signal),
            ]);
        },
    };
};
