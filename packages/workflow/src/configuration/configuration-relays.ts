import type { HostId } from "@jayfront/world";
import { rendezvousRank } from "@jayfront/world";

import type { EntryHostRecord } from "../peer/host-registry.js";

/**
 * Which hosts follow the configuration's source and tell the others, as this host sees it: two of the region nearest to
 * the store follow it and tell their region and the relays of others, which tell theirs.
 */
export interface ConfigurationRelays {
    /** A relay has said that it is one, and whether news reach it. */
    readonly note: (host: EntryHostRecord, hasSource: boolean) => void;
    /** Whether this host should follow the source itself. */
    readonly isFollowing: () => boolean;
    /** Whether a relay of the region nearest to the store was heard that news reach. */
    readonly hasUpstream: () => boolean;
    /** Whether this host should tell others, by whether news reach it. */
    readonly isRelay: (hasSource: boolean) => boolean;
    /** Relays of the region that were heard and come before this host. */
    readonly heard: () => readonly EntryHostRecord[];
    /** The other hosts of the region, and the relays of other regions. */
    readonly receivers: () => readonly EntryHostRecord[];
}

/** Options of {@link createConfigurationRelays}. */
export interface ConfigurationRelaysOptions {
    readonly self: EntryHostRecord;
    /** Regions by failure domain. */
    readonly regions: Readonly<Record<string, string>>;
    readonly peers: () => readonly EntryHostRecord[];
}

/** Relays of a region: one may be lost or slow at any moment. */
const relaysPerRegion = 2;
/** Milliseconds without word after which a relay counts as lost; two of its notices may be late. */
const silenceLimit = 1_000;
/** Milliseconds by which each next host waits longer, so that one follows a lost relay and not all. */
const silenceStep = 50;

interface Heard {
    readonly at: number;
    readonly hasSource: boolean;
}

/** The region whose hosts had the store's answers soonest when they started, by their medians. */
const nearestRegion = (
    hosts: readonly EntryHostRecord[],
    regionOf: (host: EntryHostRecord) => string,
): string | undefined => {
    const delays = new Map<string, number[]>();
    for (const host of hosts) {
        delays.set(regionOf(host), [...delays.get(regionOf(host)) ?? [], host.storeDelay]);
    }
    const medianOf = (values: readonly number[]): number =>
        values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)] ?? Infinity;
    return [...delays].toSorted((left, right) => medianOf(left[1]) - medianOf(right[1]))[0]?.[0];
};

/** Creates a view in which nobody has been heard. */
export const createConfigurationRelays = (options: ConfigurationRelaysOptions): ConfigurationRelays => {
    const { self, regions, peers } = options;
    const notices = new Map<HostId, Heard>();
    const regionOf = (host: EntryHostRecord): string => regions[host.failureDomain] ?? "";
    const ownRegion = regionOf(self);
    const ranked = (region: string, hosts: readonly EntryHostRecord[]): readonly EntryHostRecord[] => {
        const byId = new Map(hosts.map(host => [host.id, host]));
        return rendezvousRank(`configuration ${region}`, [...byId.keys()]).flatMap(id => byId.get(id) ?? []);
    };
    const hostsOf = (region: string): readonly EntryHostRecord[] => peers().filter(peer => regionOf(peer) === region);
    const placing = (): { readonly before: readonly EntryHostRecord[]; readonly limit: number; } => {
        const order = ranked(ownRegion, [...hostsOf(ownRegion), self]);
        const place = order.indexOf(self);
        return { before: order.slice(0, place), limit: silenceLimit + place * silenceStep };
    };
    const heardOf = (hosts: readonly EntryHostRecord[], limit: number): readonly EntryHostRecord[] =>
        hosts.filter(host => performance.now() - (notices.get(host.id)?.at ?? -Infinity) < limit);
    const withSource = (hosts: readonly EntryHostRecord[]): readonly EntryHostRecord[] =>
        hosts.filter(host => notices.get(host.id)?.hasSource === true);
    const heard = (): readonly EntryHostRecord[] => {
        const { before, limit } = placing();
        return heardOf(before, limit);
    };
    const hasUpstream = (): boolean => {
        const nearest = nearestRegion([...peers(), self], regionOf);
        return nearest !== undefined && nearest !== ownRegion
            && withSource(heardOf(hostsOf(nearest), placing().limit)).length > 0;
    };
    return {
        note: (host, hasSource) => {
            notices.set(host.id, { at: performance.now(), hasSource });
        },
        isFollowing: () => withSource(heard()).length < relaysPerRegion && !hasUpstream(),
        hasUpstream,
        isRelay: hasSource => {
            const before = heard();
            return (hasSource ? withSource(before) : before).length < relaysPerRegion;
        },
        heard: () => {
            const before = heard();
            return [...new Set([...withSource(before), ...before])];
        },
        receivers: () => {
            const far = [...new Set(Object.values(regions))].filter(region => region !== ownRegion).flatMap(region => {
                const hosts = ranked(region, hostsOf(region));
                return [...hosts.slice(0, relaysPerRegion), ...heardOf(hosts, silenceLimit)];
            });
            return [...new Set([...hostsOf(ownRegion), ...far])];
        },
    };
};
