import type { FailureDomainId, HostId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import type { Logger } from "pino";

import { rowKeys } from "../cell/row-keys.js";
import type { StateStore, StoredRow } from "../port/state-store.js";
import type { RowChange } from "../store/followed-table.js";
import { createFollowedTable } from "../store/followed-table.js";

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
    /** The same array until a host comes, goes or starts anew. */
    readonly peers: () => readonly EntryHostRecord[];
    /** A peer has said something itself. */
    readonly addPeer: (host: EntryHostRecord) => void;
    /** A call to a peer was answered, or was not. */
    readonly recordCall: (host: HostId, isAnswered: boolean) => void;
    /** Brings the others' rows up to date now; false where the store does not answer. */
    readonly refresh: () => Promise<boolean>;
    /** Registers this host and follows the others until `signal` aborts. */
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

/** Milliseconds for which one call waits for changes; a connection that went silent is noticed soon after. */
const followWait = 10_000;
/** Milliseconds between two calls, in which changes gather: all hosts may start at the same moment. */
const gatherTime = 1_000;
/** Milliseconds between tries while the store does not answer. */
const retryInterval = 1_000;
/** Milliseconds without an answer, in spite of calls, after which a host counts as gone. */
const goneAfter = 15_000;
/** Milliseconds after which the row of a host that is gone is removed; longer than any outage that a host comes back from. */
const removeAfter = 600_000;
/** Milliseconds between looks for hosts that are gone. */
const goneInterval = 2_500;
/** Share of the peers without answer above which this host takes itself to be cut off, and nobody to be gone. */
const isolatedShare = 0.5;

/** What counts of a host whose row, written by an earlier release, does not tell. */
const defaults: Pick<EntryHostRecord, "processors"> = { processors: 1 };

/** Reads a row; undefined where it is none of this release. */
const decode = (row: StoredRow): EntryHostRecord | undefined => {
    try {
        const record: EntryHostRecord = { ...defaults, ...JSON.parse(row.value) as EntryHostRecord };
        return typeof record.peerAddress === "string" && record.id === row.key ? record : undefined;
    }
    catch {
        return undefined;
    }
};

/**
 * Creates a registry that knows nobody. A host writes its row when it starts, and again only where it is missing, so
 * that the cost of a fleet at rest does not grow with its size. Who calls a host and gets no answer forgets it until it
 * is heard again, and removes its row much later.
 */
export const createHostRegistry = ({ self, store, logger, onFound }: HostRegistryOptions): HostRegistry => {
    const { table, partition } = rowKeys.host("");
    const rows = createFollowedTable({ store, table, partition });
    const hosts = new Map<HostId, EntryHostRecord>();
    /** Steady ms of the first call without answer since the last one with. */
    const failingSince = new Map<HostId, number>();
    /** Steady ms since which hosts are gone that have a row. */
    const gone = new Map<HostId, number>();
    let peers: readonly EntryHostRecord[] = [];
    /** Whether the store has this life's row, as far as this host knows. */
    let isRegistered = false;

    const add = (host: EntryHostRecord): boolean => {
        const known = hosts.get(host.id);
        if (host.id === self.id || known?.incarnation === host.incarnation) {
            return false;
        }
        hosts.set(host.id, host);
        failingSince.delete(host.id);
        gone.delete(host.id);
        logger.info({ peer: host.id, address: host.peerAddress, incarnation: host.incarnation }, "entry host found");
        return true;
    };
    const note = (host: EntryHostRecord): void => {
        if (add(host)) {
            peers = [...hosts.values()];
            onFound(host);
        }
    };
    const forget = (id: HostId): void => {
        const known = hosts.get(id);
        if (known !== undefined) {
            hosts.delete(id);
            failingSince.delete(id);
            peers = [...hosts.values()];
            logger.info({ peer: id, address: known.peerAddress }, "entry host gone");
        }
    };
    const takeOwn = (change: RowChange): void => {
        // Others take this host for gone, or a write of its former life was done late.
        isRegistered = !change.isRemoved && decode(change)?.incarnation === self.incarnation;
    };
    /** Takes a row in; answers the host that it tells of, where that is news. */
    const take = (change: RowChange): readonly EntryHostRecord[] => {
        if (change.key === self.id) {
            takeOwn(change);
            return [];
        }
        if (change.isRemoved) {
            forget(change.key as HostId);
            gone.delete(change.key as HostId);
            return [];
        }
        const host = decode(change);
        if (host === undefined) {
            logger.warn({ key: change.key, version: change.version }, "row of an entry host left out: not readable");
        }
        return host !== undefined && add(host) ? [host] : [];
    };
    const update = async (wait: number): Promise<boolean> => {
        const changes = await rows.update(wait);
        if (changes.isErr) {
            return false;
        }
        // What depends on the list of peers is worked out once for all of them.
        const found = changes.value.flatMap(take);
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
    const forgetSilent = (): void => {
        if (failingSince.size > peers.length * isolatedShare) {
            return;
        }
        for (const [id, since] of failingSince) {
            if (performance.now() - since > goneAfter) {
                forget(id);
                gone.set(id, since);
            }
        }
    };
    const removeRows = async (): Promise<void> => {
        for (const [id, since] of gone) {
            const version = rows.rows().get(id)?.version;
            if (performance.now() - since > removeAfter && version !== undefined) {
                const key = rowKeys.host(id);
                const removed = await store.commit({ checks: [{ ...key, version }], writes: [], removals: [key] });
                // A conflict tells that another host was faster, or that the host is back.
                if (removed.isOk || removed.error.kind === "conflict") {
                    gone.delete(id);
                    logger.info({ peer: id, wasOurs: removed.isOk }, "entry host forgotten");
                }
            }
        }
    };
    const runFollow = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            const isDone = await register() && await update(followWait);
            await sleep(isDone ? gatherTime : retryInterval, signal);
        }
    };
    const runRemovals = async (signal: AbortSignal): Promise<void> => {
        while (!signal.aborted) {
            await sleep(goneInterval, signal);
            forgetSilent();
            await removeRows();
        }
    };
    return {
        peers: () => peers,
        addPeer: note,
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
            await Promise.all([runFollow(signal), runRemovals(signal)]);
        },
    };
};
