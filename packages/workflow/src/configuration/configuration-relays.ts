import type { HostId } from "@jayfront/world";
import { rendezvousRank } from "@jayfront/world";

import type { EntryHostRecord } from "../peer/host-registry.js";

/**
 * Which hosts follow the configuration's source and tell the others, as this host sees it: two of the region nearest to
 * the store follow it and tell their region and the relays of others, which tell theirs.
 */
export interface ConfigurationRelays {
    /** A relay has said that it is one, whether news reach it, and in how many ms it says so again. */
    readonly recordNotice: (host: EntryHostRecord, hasSource: boolean, interval: number) => void;
    /** Whether this host should follow the source itself. */
    readonly shouldFollowSource: () => boolean;
    /** Whether a relay of the region nearest to the store was heard that news reach. */
    readonly hasUpstream: () => boolean;
    /** Whether this host should tell others, by whether news reach it. */
    readonly isRelay: (hasSource: boolean) => boolean;
    /** Relays of the region that were heard and come before this host. */
    readonly liveRelays: () => readonly EntryHostRecord[];
    /** The other hosts of the region, and the relays of other regions. */
    readonly receivers: () => readonly NoticeReceiver[];
}

/** A host that a relay sends notices to. */
export interface NoticeReceiver {
    readonly host: EntryHostRecord;
    /** Milliseconds between notices: those hosts are told more often that take a lost relay's place. */
    readonly interval: number;
}

/** Options of {@link createConfigurationRelays}. */
export interface ConfigurationRelaysOptions {
    readonly self: EntryHostRecord;
    /** Regions by failure domain. */
    readonly regions: Readonly<Record<string, string>>;
    /** The same array until a host comes or goes. */
    readonly peers: () => readonly EntryHostRecord[];
}

/** Milliseconds between notices of a relay to the hosts that come next in the order. */
export const noticeInterval = 400;
/** Hosts of a region, the first in the order, that are told so often. */
const watchingHosts = 6;
/** Multiple of {@link noticeInterval} after which the others are told. */
export const slowNoticeFactor = 2;
/** Relays of a region: one may be lost or slow at any moment. */
const relaysPerRegion = 2;
/** Milliseconds by which a notice may be late before its relay counts as lost. */
const lateNotice = 600;
/** Milliseconds after its start from which a host may be a relay: by then it knows the others, and they follow the source. */
const firstNotice = 1_500;
/** Milliseconds by which each next host waits longer, so that one follows a lost relay and not all. */
const silenceStep = 50;
/** Place in the order from which on hosts wait no longer: a version has to reach them in time all the same. */
const lastStep = 12;

interface Heard {
    readonly at: number;
    readonly hasSource: boolean;
    /** Milliseconds until the next notice, as the relay has said. */
    readonly interval: number;
}

/** The hosts as relays are chosen among them; holds until a host comes or goes. */
interface Layout {
    readonly peers: readonly EntryHostRecord[];
    /** Peers by region, in the order in which they become relays. */
    readonly ranked: ReadonlyMap<string, readonly EntryHostRecord[]>;
    /** Peers of the own region that come before this host. */
    readonly before: readonly EntryHostRecord[];
    /** The region whose hosts had the store's answers soonest when they started, by their medians. */
    readonly nearest: string | undefined;
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

/** Creates a view in which nobody has been heard. */
export const createConfigurationRelays = (options: ConfigurationRelaysOptions): ConfigurationRelays => {
    const { self, regions, peers } = options;
    const startedAt = performance.now();
    const notices = new Map<HostId, Heard>();
    const regionOf = (host: EntryHostRecord): string => regions[host.failureDomain] ?? "";
    const ownRegion = regionOf(self);
    const otherRegions = [...new Set(Object.values(regions))].filter(region => region !== ownRegion);
    const rank = (region: string, hosts: readonly EntryHostRecord[]): readonly EntryHostRecord[] => {
        const byId = new Map(hosts.map(host => [host.id, host]));
        return rendezvousRank(`configuration ${region}`, [...byId.keys()]).flatMap(id => byId.get(id) ?? []);
    };
    const layOut = (hosts: readonly EntryHostRecord[]): Layout => {
        const order = rank(ownRegion, [...hosts.filter(host => regionOf(host) === ownRegion), self]);
        const delays = [...groupBy([...hosts, self], regionOf)]
            .map(([region, found]) => ({ region, delay: medianOf(found.map(host => host.storeDelay)) }))
            .toSorted((left, right) => left.delay - right.delay);
        return {
            peers: hosts,
            ranked: new Map([...groupBy(hosts, regionOf)].map(([region, found]) => [region, rank(region, found)])),
            before: order.slice(0, order.indexOf(self)),
            nearest: delays[0]?.region,
        };
    };
    let latest: Layout | undefined;
    const layout = (): Layout => {
        const hosts = peers();
        latest = latest?.peers === hosts ? latest : layOut(hosts);
        return latest;
    };
    const hostsOf = (region: string): readonly EntryHostRecord[] => layout().ranked.get(region) ?? [];
    const isHeard = (host: EntryHostRecord, patience: number): boolean => {
        const notice = notices.get(host.id);
        return notice !== undefined
            && performance.now() - notice.at < notice.interval + lateNotice + patience;
    };
    const heardOf = (hosts: readonly EntryHostRecord[], patience: number): readonly EntryHostRecord[] =>
        hosts.filter(host => isHeard(host, patience));
    const withSource = (hosts: readonly EntryHostRecord[]): readonly EntryHostRecord[] =>
        hosts.filter(host => notices.get(host.id)?.hasSource === true);
    const ownPatience = (): number => Math.min(layout().before.length, lastStep) * silenceStep;
    const startTime = (): number =>
        layout().before.length < relaysPerRegion ? firstNotice : firstNotice + lateNotice + ownPatience();
    const heard = (): readonly EntryHostRecord[] => heardOf(layout().before, ownPatience());
    const hasUpstream = (): boolean => {
        const { nearest } = layout();
        return nearest !== undefined && nearest !== ownRegion
            && withSource(heardOf(hostsOf(nearest), ownPatience())).length > 0;
    };
    return {
        recordNotice: (host, hasSource, interval) => {
            notices.set(host.id, { at: performance.now(), hasSource, interval });
        },
        shouldFollowSource: () => withSource(heard()).length < relaysPerRegion && !hasUpstream(),
        hasUpstream,
        isRelay: hasSource => {
            if (performance.now() - startedAt < startTime()) {
                return false;
            }
            const before = heard();
            return (hasSource ? withSource(before) : before).length < relaysPerRegion;
        },
        liveRelays: () => {
            const before = heard();
            return [...new Set([...withSource(before), ...before])];
        },
        receivers: () => {
            const far = otherRegions.flatMap(region => {
                const hosts = hostsOf(region);
                return [...hosts.slice(0, relaysPerRegion), ...heardOf(hosts, 0)];
            });
            const own = hostsOf(ownRegion);
            const next = new Set([...own.slice(0, watchingHosts), ...far]);
            return [
                ...[...next].map(host => ({ host, interval: noticeInterval })),
                ...own.filter(host => !next.has(host)).map(host => ({
                    host,
                    interval: noticeInterval * slowNoticeFactor,
                })),
            ];
        },
    };
};
