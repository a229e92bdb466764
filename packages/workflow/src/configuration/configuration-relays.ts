import type { HostId } from "@jayfront/world";
import { rendezvousRank } from "@jayfront/world";

import type { EntryHostRecord } from "../peer/host-registry.js";

/**
 * How configuration changes are distributed, as this host sees it. Each region has two relays. Those of the region that
 * is nearest to the store follow the configuration source and send notices to the other hosts of their region and to
 * the relays of the other regions, which send them to the hosts of theirs.
 */
export interface ConfigurationRelays {
    /**
     * Records a relay's notice. `hasSource`: whether configuration changes reach the relay. `interval`: milliseconds
     * until its next notice.
     */
    readonly recordNotice: (host: EntryHostRecord, hasSource: boolean, interval: number) => void;
    /** Whether this host should follow the configuration source itself. */
    readonly shouldFollowSource: () => boolean;
    /** Whether the region nearest to the store, if another one, has a live relay that configuration changes reach. */
    readonly hasUpstream: () => boolean;
    /** Whether this host should send notices; `hasSource`: whether configuration changes reach it. */
    readonly isRelay: (hasSource: boolean) => boolean;
    /** Live relays of this host's region that rank before it, those that configuration changes reach first. */
    readonly liveRelays: () => readonly EntryHostRecord[];
    /** The other hosts of the region, and the relays of other regions. */
    readonly receivers: () => readonly NoticeReceiver[];
}

/** A host that a relay sends notices to. */
export interface NoticeReceiver {
    readonly host: EntryHostRecord;
    /** Milliseconds between notices; shorter for the hosts that replace a lost relay. */
    readonly interval: number;
}

/** Options of {@link createConfigurationRelays}. */
export interface ConfigurationRelaysOptions {
    readonly self: EntryHostRecord;
    /** Regions by failure domain. */
    readonly regions: Readonly<Record<string, string>>;
    /** Returns the same array until a host is added or removed. */
    readonly peers: () => readonly EntryHostRecord[];
}

/** Milliseconds between a relay's notices to the highest-ranked hosts of its region and to relays of other regions. */
export const noticeInterval = 400;
/** Number of highest-ranked hosts of a region that get notices at {@link noticeInterval}; they replace lost relays. */
const standbyHosts = 6;
/** Multiple of {@link noticeInterval} at which all other hosts get notices. */
export const slowNoticeFactor = 2;
/** Relays per region; two, since one may be lost or slow at any moment. */
const relaysPerRegion = 2;
/** Milliseconds by which a notice may be late before its relay counts as lost. */
const noticeDelayTolerance = 600;
/**
 * Milliseconds from a host's start until it may be a relay: by then it knows the other hosts, and those that should
 * follow the source do so.
 */
const relayStartDelay = 1_500;
/** Milliseconds added per rank before a host replaces a lost relay, so that one host does so and not all of them. */
const takeoverDelayStep = 50;
/** Rank beyond which the delay no longer grows: a new version has to reach these hosts in time, too. */
const maxDelayedRank = 12;

/** The last notice of a relay. */
interface ReceivedNotice {
    /** Monotonic time in ms at which it was received. */
    readonly at: number;
    readonly hasSource: boolean;
    /** Milliseconds until the relay's next notice. */
    readonly interval: number;
}

/** Ranking of the hosts, by which relays are chosen; valid until a host is added or removed. */
interface HostRanking {
    readonly peers: readonly EntryHostRecord[];
    /** Peers by region, in the order in which they become relays. */
    readonly rankedByRegion: ReadonlyMap<string, readonly EntryHostRecord[]>;
    /** Peers of this host's region that rank before it. */
    readonly preceding: readonly EntryHostRecord[];
    /** Region with the least median store delay, as its hosts measured it when they started. */
    readonly nearestRegion: string | undefined;
}

const medianOf = (values: readonly number[]): number =>
    values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)] ?? Infinity;

const groupBy = <Item>(items: readonly Item[], keyOf: (item: Item) => string): ReadonlyMap<string, readonly Item[]> => {
    const groups = new Map<string, Item[]>();
    for (const item of items) {
        const key = keyOf(item);
        const group = groups.get(key) ?? [];
        group.push(item);
        groups.set(key, group);
    }
    return groups;
};

/** Creates a view without any notice. */
export const createConfigurationRelays = (options: ConfigurationRelaysOptions): ConfigurationRelays => {
    const { self, regions, peers } = options;
    const startedAt = performance.now();
    const notices = new Map<HostId, ReceivedNotice>();
    const regionOf = (host: EntryHostRecord): string => regions[host.failureDomain] ?? "";
    const ownRegion = regionOf(self);
    const otherRegions = [...new Set(Object.values(regions))].filter(region => region !== ownRegion);
    const rank = (region: string, hosts: readonly EntryHostRecord[]): readonly EntryHostRecord[] => {
        const byId = new Map(hosts.map(host => [host.id, host]));
        return rendezvousRank(`configuration ${region}`, [...byId.keys()]).flatMap(id => byId.get(id) ?? []);
    };
    const createRanking = (hosts: readonly EntryHostRecord[]): HostRanking => {
        const order = rank(ownRegion, [...hosts.filter(host => regionOf(host) === ownRegion), self]);
        const delays = [...groupBy([...hosts, self], regionOf)]
            .map(([region, found]) => ({ region, delay: medianOf(found.map(host => host.storeDelay)) }))
            .toSorted((left, right) => left.delay - right.delay);
        return {
            peers: hosts,
            rankedByRegion: new Map(
                [...groupBy(hosts, regionOf)].map(([region, found]) => [region, rank(region, found)]),
            ),
            preceding: order.slice(0, order.indexOf(self)),
            nearestRegion: delays[0]?.region,
        };
    };
    let cachedRanking: HostRanking | undefined;
    const ranking = (): HostRanking => {
        const hosts = peers();
        cachedRanking = cachedRanking?.peers === hosts ? cachedRanking : createRanking(hosts);
        return cachedRanking;
    };
    const hostsOf = (region: string): readonly EntryHostRecord[] => ranking().rankedByRegion.get(region) ?? [];
    const isLive = (host: EntryHostRecord, extraDelay: number): boolean => {
        const notice = notices.get(host.id);
        return notice !== undefined
            && performance.now() - notice.at < notice.interval + noticeDelayTolerance + extraDelay;
    };
    const liveOf = (hosts: readonly EntryHostRecord[], extraDelay: number): readonly EntryHostRecord[] =>
        hosts.filter(host => isLive(host, extraDelay));
    const withSource = (hosts: readonly EntryHostRecord[]): readonly EntryHostRecord[] =>
        hosts.filter(host => notices.get(host.id)?.hasSource === true);
    const takeoverDelay = (): number => Math.min(ranking().preceding.length, maxDelayedRank) * takeoverDelayStep;
    const ownStartDelay = (): number =>
        ranking().preceding.length < relaysPerRegion
            ? relayStartDelay
            : relayStartDelay + noticeDelayTolerance + takeoverDelay();
    const findLivePreceding = (): readonly EntryHostRecord[] => liveOf(ranking().preceding, takeoverDelay());
    const hasUpstream = (): boolean => {
        const { nearestRegion } = ranking();
        return nearestRegion !== undefined && nearestRegion !== ownRegion
            && withSource(liveOf(hostsOf(nearestRegion), takeoverDelay())).length > 0;
    };
    return {
        recordNotice: (host, hasSource, interval) => {
            notices.set(host.id, { at: performance.now(), hasSource, interval });
        },
        shouldFollowSource: () => withSource(findLivePreceding()).length < relaysPerRegion && !hasUpstream(),
        hasUpstream,
        isRelay: hasSource => {
            if (performance.now() - startedAt < ownStartDelay()) {
                return false;
            }
            const livePreceding = findLivePreceding();
            return (hasSource ? withSource(livePreceding) : livePreceding).length < relaysPerRegion;
        },
        liveRelays: () => {
            const livePreceding = findLivePreceding();
            return [...new Set([...withSource(livePreceding), ...livePreceding])];
        },
        receivers: () => {
            const remoteRelays = otherRegions.flatMap(region => {
                const hosts = hostsOf(region);
                return [...hosts.slice(0, relaysPerRegion), ...liveOf(hosts, 0)];
            });
            const regionHosts = hostsOf(ownRegion);
            const frequentReceivers = new Set([...regionHosts.slice(0, standbyHosts), ...remoteRelays]);
            return [
                ...[...frequentReceivers].map(host => ({ host, interval: noticeInterval })),
                ...regionHosts.filter(host => !frequentReceivers.has(host)).map(host => ({
                    host,
                    interval: noticeInterval * slowNoticeFactor,
                })),
            ];
        },
    };
};
