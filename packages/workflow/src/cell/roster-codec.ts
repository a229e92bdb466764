import type { WorkerId } from "@jayfront/world";

import type { WorkerEntry } from "../model/worker-entry.js";

/** What the workers of one kind and rack have in common. */
type CommonPart = Pick<WorkerEntry, "service" | "failureDomain" | "rack" | "labels" | "capacity">;

/** Workers with what they have in common written once; `[id, address, bornAt, remaining]`, the last where one drains. */
interface RosterGroup extends CommonPart {
    readonly isDraining: boolean;
    readonly workers: readonly (readonly [WorkerId, string, number, number?])[];
}

/** The value of a cell's roster row. A row holds at most 64 KB, so that what workers share is written once for all. */
export const rosterCodec = {
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
    /** Also reads rows of earlier versions, which hold whole entries. */
    decode: (value: string): WorkerEntry[] =>
        (JSON.parse(value) as (RosterGroup | WorkerEntry)[]).flatMap(group => {
            if (!("workers" in group)) {
                return [group];
            }
            const { workers, ...common } = group;
            return workers.map(([id, address, bornAt, remaining]): WorkerEntry => ({
                ...common,
                id,
                address,
                bornAt,
                ...(remaining === undefined ? {} : { remaining }),
            }));
        }),
};
