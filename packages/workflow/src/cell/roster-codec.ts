import type { WorkerId } from "@jayfront/world";

import type { WorkerEntry } from "../model/worker-entry.js";

/** A worker on the roster of a cell, as its next holder has to know it. */
export interface RosterEntry extends WorkerEntry {
    /**
     * Milliseconds, from the write of the roster, until the last lease of a worker that does not answer expires; undefined
     * for workers that may get new leases.
     */
    readonly leasedFor?: number | undefined;
    /** As `leasedFor`, including deadlines that may still arrive late; undefined if none may. */
    readonly lateFor?: number | undefined;
    /**
     * Epoch of the holder that stored `leasedFor`, which holds for the next epoch only: a holder of an earlier version
     * leaves it in the row although it grants leases.
     */
    readonly leasesEpoch?: number | undefined;
}

/** Fields that are the same for many workers of a rack. */
type CommonPart = Pick<WorkerEntry, "service" | "failureDomain" | "rack" | "labels" | "capacity">;

/** Number in a row; JSON has no undefined elements of arrays. */
type OptionalNumber = number | null | undefined;

/**
 * A worker as `[id, address, bornAt, remaining, leasedFor, lateFor, leasesEpoch]`, without the last elements that are
 * undefined.
 */
type RosterRow = readonly [
    WorkerId,
    string,
    number,
    OptionalNumber?,
    OptionalNumber?,
    OptionalNumber?,
    OptionalNumber?,
];

/** Workers with equal common fields. */
interface RosterGroup extends CommonPart {
    readonly isDraining: boolean;
    readonly workers: readonly RosterRow[];
}

const encodeWorker = (entry: RosterEntry): RosterRow => {
    const { id, address, bornAt, remaining, leasedFor, lateFor, leasesEpoch } = entry;
    const row: RosterRow = [id, address, bornAt, remaining, leasedFor, lateFor, leasesEpoch];
    return row.slice(0, row.findLastIndex(value => value !== undefined) + 1) as unknown as RosterRow;
};
const decodeOptional = <Key extends string>(key: Key, value: OptionalNumber): { readonly [Name in Key]?: number; } =>
    value === undefined || value === null ? {} : { [key]: value } as { readonly [Name in Key]?: number; };

/** Codec of a cell's roster row. A row holds at most 64 KB, so fields that workers have in common are written once. */
export const rosterCodec = {
    /** Groups workers with equal common fields; their order is not kept. */
    encode: (entries: readonly RosterEntry[]): string => {
        const groups = new Map<string, RosterGroup & { workers: RosterRow[]; }>();
        for (const entry of entries) {
            const { service, failureDomain, rack, labels, capacity, isDraining } = entry;
            const common = { service, failureDomain, rack, labels, capacity, isDraining };
            const key = JSON.stringify(Object.values(common));
            const group = groups.get(key) ?? { ...common, workers: [] };
            group.workers.push(encodeWorker(entry));
            groups.set(key, group);
        }
        return JSON.stringify([...groups.values()]);
    },
    /** Also decodes rows that earlier versions wrote, which hold an array of whole worker entries or no leases. */
    decode: (value: string): RosterEntry[] =>
        (JSON.parse(value) as (RosterGroup | WorkerEntry)[]).flatMap(group => {
            if (!("workers" in group)) {
                return [group];
            }
            const { workers, service, failureDomain, rack, labels, capacity, isDraining } = group;
            return workers.map(([id, address, bornAt, remaining, leasedFor, lateFor, leasesEpoch]): RosterEntry => ({
                id,
                address,
                service,
                failureDomain,
                rack,
                labels,
                capacity,
                isDraining,
                bornAt,
                ...decodeOptional("remaining", remaining),
                ...decodeOptional("leasedFor", leasedFor),
                ...decodeOptional("lateFor", lateFor),
                ...decodeOptional("leasesEpoch", leasesEpoch),
            }));
        }),
};
