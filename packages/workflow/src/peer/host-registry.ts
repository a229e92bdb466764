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
}

/** Knows the other entry hosts, by their rows in the store and by what they say of themselves. */
export interface HostRegistry {
    readonly peers: () => readonly EntryHostRecord[];
    /** A peer has said something itself. */
    readonly note: (host: EntryHostRecord) => void;
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

interface Seen {
    host: EntryHostRecord;
    version: number;
    seenAt: number;
}

/** Creates a registry that knows nobody. */
export const createHostRegistry = ({ self, store, logger, onFound }: HostRegistryOptions): HostRegistry => {
    const hosts = new Map<HostId, Seen>();
    const take = (host: EntryHostRecord, version: number | undefined): void => {
        const known = hosts.get(host.id);
        const isNews = version === undefined || known?.version !== version;
        if (host.id === self.id || !isNews) {
            return;
        }
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
    const read = async (): Promise<boolean> => {
        const { table, partition } = tables.host("");
        const answer = await store.read(table, partition);
        if (answer.isErr) {
            return false;
        }
        for (const row of answer.value.rows) {
            take(JSON.parse(row.value) as EntryHostRecord, row.version);
        }
        for (const [id, { seenAt, host }] of hosts) {
            if (performance.now() - seenAt > goneAfter) {
                hosts.delete(id);
                logger.info({ peer: id, address: host.peerAddress }, "entry host gone");
            }
        }
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
        run: async signal => {
            await Promise.all([
                repeat(write, writeInterval, signal),
                repeat(read, readInterval, signal),
            ]);
        },
    };
};
