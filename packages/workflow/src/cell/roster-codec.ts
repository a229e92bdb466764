import type { WorkerId } from "@jayfront/world";

import type { WorkerEntry } from "../model/worker-entry.js";

/** A worker on the roster of a cell, as its next holder has to know it. */
export interface RosterEntry extends WorkerEntry {
    /**
     * Milliseconds, from the write of the roster, until the last lease of a worker that does not answer expires; undefined
     * for workers that may get new leases.
     */
    readonly leasedFor?: number | undefined;
}

/** Fields that are the same for many workers of a rack. */
type CommonPart = Pick<WorkerEntry, "service" | "failureDomain" | "rack" | "labels" | "capacity">;

/** A worker as `[id, address, bornAt, remaining]`, the last only for a draining one. */
type RosterRow = readonly [WorkerId, string, number, number?];

/** Workers with equal common fields. */
interface RosterGroup extends CommonPart {
    readonly isDraining: boolean;
    readonly workers: readonly RosterRow[];
    /** `RosterEntry.leasedFor` by worker. */
    readonly leases?: Readonly<Record<string, number>>;
}

/** Codec of a cell's roster row. A row holds at most 64 KB, so fields that workers have in common are written once. */
export const rosterCodec = {
    /** Groups workers with equal common fields; their order is not kept. */
    encode: (entries: readonly RosterEntry[]): string => {
        const groups = new Map<string, RosterGroup & { workers: RosterRow[]; leases?: Record<string, number>; }>();
        for (const { id, address, bornAt, remaining, leasedFor, ...common } of entries) {
            const { service, failureDomain, rack, labels, capacity, isDraining } = common;
            const key = JSON.stringify([service, failureDomain, rack, labels, capacity, isDraining]);
            const group = groups.get(key) ?? { ...common, workers: [] };
            group.workers.push(remaining === undefined ? [id, address, bornAt] : [id, address, bornAt, remaining]);
            if (leasedFor !== undefined) {
                group.leases = { ...group.leases, [id]: leasedFor };
            }
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
            const { workers, leases = {}, service, failureDomain, rack, labels, capacity, isDraining } = group;
            return workers.map(([id, address, bornAt, remaining]): RosterEntry => ({
                id,
                address,
                service,
                failureDomain,
                rack,
                labels,
                capacity,
                isDraining,
                bornAt,
                ...(remaining === undefined ? {} : { remaining }),
                ...(leases[id] === undefined ? {} : { leasedFor: leases[id] }),
            }));
        }),
};
