import type { FailureDomainId, ServiceId, WorkerId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";

import type { RosterEntry } from "../src/cell/roster-codec.js";
import { rosterCodec } from "../src/cell/roster-codec.js";

const rackSize = 12;
/** Largest row in bytes that the platform's store accepts. */
const maxRowBytes = 65_536;

const entries = (count: number): RosterEntry[] =>
    [...Array(count).keys()].map(number => {
        const rackNumber = Math.floor(number / rackSize);
        const domain = String(rackNumber % 6);
        const rack = `r${domain}-${String(rackNumber)}`;
        return {
            id: `i-${number.toString(16).padStart(10, "0")}` as WorkerId,
            address: `10.200.164.${String(number)}:8046`,
            service: "engrave-desk" as ServiceId,
            failureDomain: `worcester-${domain}` as FailureDomainId,
            rack,
            labels: ["a", rack],
            capacity: { cpu: 64_000, memory: 256_000, accelerators: 0 },
            isDraining: number % 10 === 0,
            bornAt: 1_783_136_637_722 + number,
            ...(number % 10 === 0 ? { remaining: 2_500 } : {}),
            ...(number % 2 === 0 ? { leasedFor: 5_400, leasesEpoch: 12 } : {}),
            ...(number % 4 === 0 ? { lateFor: 17_400 } : {}),
        };
    });
const byId = (left: RosterEntry, right: RosterEntry): number => left.id < right.id ? -1 : 1;

describe("codec of a cell's roster row", () => {
    // Guards against a cell that never starts a task: the store refuses rows over 64 KB, and a worker gets no tasks
    // before the stored roster names it.
    it("fits twice the workers of the largest site into a row, since a release may list old and new ones", () => {
        expect(Buffer.byteLength(rosterCodec.encode(entries(2 * 342)))).toBeLessThan(maxRowBytes);
    });

    it("decodes the entries that it encoded", () => {
        expect(rosterCodec.decode(rosterCodec.encode(entries(40))).sort(byId)).toEqual(entries(40));
    });

    // Guards against a new version that takes over a cell and can't read on which workers its predecessor's tasks run.
    it("decodes rows of whole entries, as earlier versions wrote them", () => {
        expect(rosterCodec.decode(JSON.stringify(entries(3)))).toEqual(entries(3));
        expect(rosterCodec.decode("[]")).toEqual([]);
    });
});
