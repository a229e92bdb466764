import type { CellId, JobId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import pino from "pino";
import { Registry } from "prom-client";
import { Result } from "true-myth";

import type { CellLease } from "../src/cell/cell-lease.js";
import { rowKeys } from "../src/cell/row-keys.js";
import { createWorkflowIntake } from "../src/cell/workflow-intake.js";
import type { StateStore } from "../src/port/state-store.js";
import { createWorkflowMetrics } from "../src/workflow-metrics.js";
import { testQueue } from "./test-queue.js";

const cell = "east" as CellId;
const payload = "x".repeat(1_000);

describe("submissions that wait for the store", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    // Guards against a holder whose memory ends because many hosts send it workflows while the store is slow.
    it("are refused before a write if they hold too much memory, and accepted again afterwards", async () => {
        let left = 5_000;
        const writes: string[] = [];
        const completed: string[] = [];
        const store: Partial<StateStore> = {
            limits: { entries: 100, bytes: 697_500, valueBytes: 65_536 },
            commit: async transaction => {
                writes.push(...transaction.writes.filter(({ table }) => table === "workflows").map(({ key }) => key));
                await sleep(300);
                return Result.ok(7);
            },
        };
        const lease: Partial<CellLease> = {
            cell,
            epoch: 3,
            check: { ...rowKeys.holder(cell), version: 5 },
            trackCall: () => () => undefined,
            isLost: () => false,
            isStoreFailing: () => false,
        };
        const intake = createWorkflowIntake({
            store: store as StateStore,
            lease: lease as CellLease,
            logger: pino({ level: "silent" }),
            metrics: createWorkflowMetrics(new Registry()),
            lateWriteTime: 12_000,
            stateOf: () => undefined,
            onStored: () => undefined,
            onCompleted: id => {
                completed.push(id);
            },
            waitingMemory: {
                hold: bytes => {
                    left -= bytes;
                },
                take: bytes => {
                    const isTaken = bytes <= left;
                    left -= isTaken ? bytes : 0;
                    return isTaken;
                },
                giveBack: bytes => {
                    left += bytes;
                },
            },
            signal: new AbortController().signal,
        });
        const submit = async (id: string): Promise<string> =>
            (await intake.submit({ id: id as JobId, queue: testQueue, payload, steps: [], acceptedAt: 0 })).kind;
        const first = ["a", "b", "c"].map(submit);
        await jest.advanceTimersByTimeAsync(700);
        expect(await Promise.all(first)).toEqual(["accepted", "accepted", "refused"]);
        const repeated = submit("c");
        await jest.advanceTimersByTimeAsync(700);
        expect([await repeated, writes, left]).toEqual(["accepted", ["a", "b", "c"], 5_000]);
        expect(completed).toEqual(["a", "b", "c"]);
    });
});
