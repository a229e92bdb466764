import type { FailureDomainId, HostId } from "@jayfront/world";
import { isSocketAddress, sleep } from "@jayfront/world";
import type { Logger } from "pino";
import { z } from "zod";

import { rowKeys } from "../cell/row-keys.js";
import type { StateStore, StoredRow } from "../port/state-store.js";
import type { RowChange } from "../store/followed-table.js";
import { createFollowedTable } from "../store/followed-table.js";

/** An entry host as it registers itself in the store. */
export interface EntryHostRecord {
    readonly id: HostId;
    readonly failureDomain: FailureDomainId;
    /** `IP:port` on which it serves other entry hosts. */
    readonly peerAddress: string;
    /** Id of one incarnation of the host: it changes each time the host's process starts. */
    readonly incarnation: string;
    /** Milliseconds that the store took to answer the host when the host started. */
    readonly storeDelay: number;
    /** Processor cores that the host may use; may be a fraction. */
    readonly processors: number;
}

/** The other entry hosts, known from their rows in the store and from the messages that they send. */
export interface HostRegistry {
    /** Returns the same array until a host is added, removed or restarted. */
    readonly peers: () => readonly EntryHostRecord[];
    /** Adds the sender of a message if it is not known yet or has restarted. */
    readonly addPeer: (host: EntryHostRecord) => void;
    /** Records whether a call to a peer was answered. */
    readonly recordCall: (host: HostId, isAnswered: boolean) => void;
    /** Reads the rows of the other hosts now; resolves to false if the store does not answer. */
    readonly refresh: () => Promise<boolean>;
    /** Registers this host and follows the rows of the others until `signal` aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Options of {@link createHostRegistry}. */
export interface HostRegistryOptions {
    readonly self: EntryHostRecord;
    readonly store: StateStore;
    readonly logger: Logger;
    /** Called once for each host, and again each time it has restarted. */
    readonly onFound: (host: EntryHostRecord) => void;
}

/** Milliseconds for which one call waits for changes; a dead connection is noticed soon after. */
const followWait = 10_000;
/** Milliseconds between two such calls; changes are batched meanwhile, since all hosts may start at the same moment. */
const followPause = 1_000;
/** Milliseconds between attempts while the store does not answer. */
const retryInterval = 1_000;
/** Milliseconds of failing calls after which a host counts as unreachable. */
const unreachableTimeout = 15_000;
/** Milliseconds of failing calls after which a host's row is removed; longer than any outage is expected to last. */
const rowRemovalDelay = 600_000;
/** Milliseconds between checks for unreachable hosts. */
const removalInterval = 2_500;
/** Share of peers with failing calls above which this host considers itself isolated and removes no peer. */
const isolationShare = 0.5;
/** Milliseconds that a store may take to answer, in a valid row. */
const largestStoreDelay = 60_000;
/** Processor cores of a host, in a valid row. */
const largestProcessors = 10_000;

/** Schema of a host's row. Numbers that are not plausible would decide which host takes a cell. */
const hostRow = z.object({
    id: z.string().transform(value => value as HostId),
    failureDomain: z.string().transform(value => value as FailureDomainId),
    peerAddress: z.string().refine(isSocketAddress),
    incarnation: z.string(),
    storeDelay: z.number().min(0).max(largestStoreDelay),
    /** Rows written by an earlier release lack it. */
    processors: z.number().positive().max(largestProcessors).default(1),
});

/** Decodes a row; undefined if it is not a valid record. */
const decode = (row: StoredRow): EntryHostRecord | undefined => {
    try {
        const record = hostRow.parse(JSON.parse(row.value));
        return record.id === row.key ? record : undefined;
    }
    catch {
        return undefined;
    }
};

/**
 * Creates a registry without peers. A host writes its row when it starts, and again only if the row is missing, so that
 * an idle fleet causes no writes, whatever its size. A host whose calls to a peer keep failing drops the peer from its
 * list until it hears from it again, and removes the peer's row much later.
 */
export const createHostRegistry = ({ self, store, logger, onFound }: HostRegistryOptions): HostRegistry => {
    const { table, partition } = rowKeys.host("");
    const hostTable = createFollowedTable({ store, table, partition });
    const hosts = new Map<HostId, EntryHostRecord>();
    /** Monotonic time in ms of the first failed call to each peer since its last answered call. */
    const failingSince = new Map<HostId, number>();
    /** Monotonic time in ms since which calls to removed peers failed, for those that may still have a row. */
    const unreachableSince = new Map<HostId, number>();
    let peers: readonly EntryHostRecord[] = [];
    /** Whether the store has the row of this incarnation, as far as this host knows. */
    let isRegistered = false;

    const addIfNew = (host: EntryHostRecord): boolean => {
        const known = hosts.get(host.id);
        if (host.id === self.id || known?.incarnation === host.incarnation) {
            return false;
        }
        hosts.set(host.id, host);
        failingSince.delete(host.id);
        unreachableSince.delete(host.id);
        logger.info({
            peer: host.id,
            address: host.peerAddress,
            incarnation: host.incarnation,
            storeDelay: Math.round(host.storeDelay),
            processors: host.processors,
        }, "entry host found");
        return true;
    };
    const addPeer = (host: EntryHostRecord): void => {
        if (addIfNew(host)) {
            peers = [...hosts.values()];
            onFound(host);
        }
    };
    const removePeer = (id: HostId): void => {
        const known = hosts.get(id);
        if (known !== undefined) {
            hosts.delete(id);
            failingSince.delete(id);
            peers = [...hosts.values()];
            logger.info({ peer: id, address: known.peerAddress }, "entry host removed from peers");
        }
    };
    const applyOwnRow = (change: RowChange): void => {
        // Another host may have removed the row, or a write of an earlier incarnation may have taken effect late.
        isRegistered = !change.isRemoved && decode(change)?.incarnation === self.incarnation;
    };
    /** Applies a changed row; returns its host if that is new or has restarted. */
    const applyRow = (change: RowChange): readonly EntryHostRecord[] => {
        if (change.key === self.id) {
            applyOwnRow(change);
            return [];
        }
        if (change.isRemoved) {
            removePeer(change.key as HostId);
            unreachableSince.delete(change.key as HostId);
            return [];
        }
        const host = decode(change);
        if (host === undefined) {
            logger.warn({ key: change.key, version: change.version }, "entry host row ignored: not a valid record");
        }
        return host !== undefined && addIfNew(host) ? [host] : [];
    };
    const update = async (wait: number): Promise<boolean> => {
        const changes = await hostTable.update(wait);
        if (changes.isErr) {
            return false;
        }
        // The list is replaced once for all rows, since callers derive data from it whenever it changes.
        const found = changes.value.flatMap(applyRow);
        peers = found.length > 0 ? [...hosts.values()] : peers;
        found.forEach(onFound);
        return true;
    };
    const register = async (): Promise<boolean> => {
        if (!isRegistered) {
            const written = await store.commit({
                checks: [],
                writes: [{ ...rowKeys.host(self.id), value: JSON.stringify(self) }],
            });
            isRegistered = written.isOk;
        }
        return isRegistered;
    };
    const removeUnreachable = (): void => {
        if (failingSince.size > peers.length * isolationShare) {
            return;
        }
        for (const [id, since] of failingSince) {
            if (performance.now() - since > unreachableTimeout) {
                removePeer(id);
                unreachableSince.set(id, since);
            }
        }
    };
    const removeRows = async (): Promise<void> => {
        for (const [id, since] of unreachableSince) {
            const version = hostTable.rows().get(id)?.version;
            if (performance.now() - since > rowRemovalDelay && version !== undefined) {
                const key = rowKeys.host(id);
                const removed = await store.commit({ checks: [{ ...key, version }], writes: [], removals: [key] });
                // On a conflict, another host has removed the row first, or the host is back.
                if (removed.isOk || removed.error.kind === "conflict") {
                    unreachableSince.delete(id);
                    logger.info(
                        { peer: id, isRemovedHere: removed.isOk },
                        "removal of an unreachable entry host's row finished",
                    );
                }
            }
        }
    };
    const followRows = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            const isUpdated = await register() && await update(followWait);
            await sleep(isUpdated ? followPause : retryInterval, signal);
        }
    };
    const removeRepeatedly = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            await sleep(removalInterval, signal);
            removeUnreachable();
            await removeRows();
        }
    };
    return {
        peers: () => peers,
        addPeer,
        recordCall: (id, isAnswered) => {
            if (isAnswered) {
                failingSince.delete(id);
            }
            else if (hosts.has(id) && !failingSince.has(id)) {
                failingSince.set(id, performance.now());
            }
        },
        refresh: () => update(0),
        run: async signal => {
            await Promise.all([followRows(signal), removeRepeatedly(signal)]);
        },
    };
};
