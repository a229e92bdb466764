import type { CellId, HostId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import type { CellSummary } from "../src/cell/cell-summary.js";
import { createCellClaims } from "../src/entry/cell-claims.js";
import type { EntryHostRecord } from "../src/peer/host-registry.js";

const cell = "all" as CellId;
const holder = { id: "h-1" as HostId, incarnation: "1" } as EntryHostRecord;
const summary = { cell, epoch: 3, accepted: [] } as unknown as CellSummary;
/** Milliseconds between two heartbeats; three missed ones mean that the holder is down. */
const interval = 400;

describe("the claim of a holder", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    /** Whether the claim is fresh `elapsed` ms after the last heartbeat, `late` ms of which the process was late. */
    const isFreshAfter = (elapsed: number, late: number): boolean => {
        let lateTime = 5_000;
        const claims = createCellClaims({ lateTime: () => lateTime });
        claims.recordHeartbeat(holder, [summary], interval);
        lateTime += late;
        jest.advanceTimersByTime(elapsed);
        return claims.fresh(cell) !== undefined;
    };

    it.each([
        { elapsed: 1_190, late: 0, isFresh: true },
        { elapsed: 1_210, late: 0, isFresh: false },
        // Guards against a late host that takes a cell whose heartbeats lie unread in its sockets.
        { elapsed: 1_690, late: 500, isFresh: true },
        { elapsed: 1_710, late: 500, isFresh: false },
        // Guards against a host that is always late and never notices that a holder is lost.
        { elapsed: 3_610, late: 3_500, isFresh: false },
    ])("is fresh: $isFresh, $elapsed ms after the heartbeat with $late ms of delay", ({ elapsed, late, isFresh }) => {
        expect(isFreshAfter(elapsed, late)).toBe(isFresh);
    });
});
