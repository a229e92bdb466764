import type { WorkerId } from "@jayfront/world";

import type { WorkerEntry } from "../model/worker-entry.js";

/** Fields that are the same for many workers of a rack. */
type CommonPart = Pick<WorkerEntry, "service" | "failureDomain" | "rack" | "labels" | "capacity">;

/** Workers with equal common fields; each as `[id, address, bornAt, remaining]`, the last only for a draining one. */
interface RosterGroup extends CommonPart {
    readonly isDraining: boolean;
    readonly workers: readonly (readonly [WorkerId, string, number, number?])[];
}

/** Codec of a cell's roster row. A row holds at most 64 KB, so fields that workers have in common are written once. */
export const rosterCodec = {
    /** Groups workers with equal common fields; their order is not kept. */
    encode: (entries: readonly WorkerEntry[]): string => {
        const groups = new Map<string, RosterGroup & { workers: (readonly [WorkerId, string, number, number?])[]; }>();
        for (const { id, address, bornAt, remaining, ...common } of entries) {
            const { service, failureDomain, rack, labels, capacity, isDraining } = common;
            const key = JSON.stringify([service, failureDomain, rack, labels, capacity, isDraining]);
            const group = groups.get(key) ?? { ...common, workers: [] };
            group.workers.push(remaining === undefined ? [id, address, bornAt] : [id, address, bornAt, remaining]);
            groups.set(key, group);
        }
        return JSON.stringify([...groups.values()]);
    },
    /** Also decodes rows that earlier versions wrote, which hold an array of whole worker entries. */
    decode: (value: string): WorkerEntry[] =>
        (JSON.parse(value) as (RosterGroup | WorkerEntry)[]).flatMap(group => {
            if (!("workers" in group)) {
                return [group];
            }
            const { workers, service, failureDomain, rack, labels, capacity, isDraining } = group;
            return workers.map(([id, address, bornAt, remaining]): WorkerEntry => ({
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
            }));
        }),
};
