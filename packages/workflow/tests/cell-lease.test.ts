import type { CellId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import pino from "pino";
import { Result } from "true-myth";

import type { CellLease } from "../src/cell/cell-lease.js";
import { createCellLease } from "../src/cell/cell-lease.js";
import type { StateStore } from "../src/port/state-store.js";

/** Milliseconds until the store answers a read. */
const storeDelay = 4;

describe("confirming a lease", () => {
    let reads: number;
    let isRefusingReads: boolean;
    let version: number;
    let lease: CellLease;
    beforeEach(() => {
        jest.useFakeTimers();
        reads = 0;
        isRefusingReads = false;
        version = 1;
        const store = {
            read: async () => {
                reads += 1;
                const row = { version };
                await new Promise(resolve => {
                    setTimeout(resolve, storeDelay);
                });
                return isRefusingReads
                    ? Result.err({ kind: "unavailable", message: "429" })
                    : Result.ok({ rows: [row] });
            },
        } as unknown as StateStore;
        lease = createCellLease({
            cell: "c" as CellId,
            epoch: 1,
            row: { version: 1 },
            store,
            logger: pino({ level: "silent" }),
            processDelay: () => 0,
            takenAt: performance.now(),
            onSending: () => () => undefined,
            onLost: () => undefined,
        });
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    // Guards against an answer from memory by a holder that was superseded since its last proof, as after a suspension.
    it("reads the holder row even if the last proof is recent", async () => {
        version = 2;
        const confirmation = lease.confirm();
        await jest.advanceTimersByTimeAsync(storeDelay);
        await confirmation;
        expect(lease.isLost()).toBe(true);
    });

    // Guards against an outdated answer from a read that was in flight already when the lease was to be confirmed.
    it("does not rely on a read that was sent before the call", async () => {
        const first = lease.confirm();
        await jest.advanceTimersByTimeAsync(1);
        version = 2;
        const second = lease.confirm();
        await jest.advanceTimersByTimeAsync(storeDelay - 1);
        await first;
        expect(lease.isLost()).toBe(false);
        await jest.advanceTimersByTimeAsync(storeDelay);
        await second;
        expect(lease.isLost()).toBe(true);
    });

    it("shares a read among concurrent calls", async () => {
        const confirmations = Array.from({ length: 50 }, () => lease.confirm());
        await jest.advanceTimersByTimeAsync(2 * storeDelay);
        await Promise.all(confirmations);
        expect(reads).toBe(2);
    });

    // Guards against a read of the store for each query of a workflow while the store refuses reads.
    it("does not read the store again for each call while reads are refused", async () => {
        isRefusingReads = true;
        for (let call = 0; call < 50; call += 1) {
            const confirmation = lease.confirm();
            await jest.advanceTimersByTimeAsync(storeDelay);
            await confirmation;
        }
        expect(reads).toBeLessThanOrEqual(2);
    });
});
