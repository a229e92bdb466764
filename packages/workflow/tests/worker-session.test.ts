import type { FailureDomainId, ServiceId, WorkerId } from "@jayfront/world";
import { createStopSignal } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import pino from "pino";
import { Result } from "true-myth";

import { createLateOrders } from "../src/cell/late-orders.js";
import type { WorkerSession } from "../src/cell/worker-session.js";
import { createWorkerSession } from "../src/cell/worker-session.js";
import type { WorkerEntry } from "../src/model/worker-entry.js";
import type { OrderError, WorkerReport } from "../src/port/worker-gateway.js";

const entry: WorkerEntry = {
    id: "w-1" as WorkerId,
    address: "10.0.0.1:1",
    service: "desk" as ServiceId,
    failureDomain: "east-a" as FailureDomainId,
    rack: "r-1",
    labels: [],
    capacity: { cpu: 16_000, memory: 64_000, accelerators: 0 },
    isDraining: false,
    bornAt: 1,
};
const closed: Result<never, OrderError> = Result.err({ kind: "closed", message: "nobody listens" });

describe("session of a worker", () => {
    const stop = createStopSignal();
    let answer: Result<WorkerReport, OrderError>;
    let tokens: number[];
    let session: WorkerSession;
    const report = (bornAt: number): Result<WorkerReport, OrderError> =>
        Result.ok({ clock: 500_000 + performance.now(), bornAt, running: [], ended: [] });

    beforeEach(async () => {
        jest.useFakeTimers();
        answer = report(1);
        tokens = [];
        const lateOrders = createLateOrders();
        session = createWorkerSession({
            entry,
            epoch: 3,
            timing: { longestLease: 10_000, stopTime: 900, retention: 1, clockDrift: 0.02, lateOrderTime: 12_000 },
            logger: pino({ level: "silent" }),
            gateway: {
                start: () => Promise.resolve(Result.err({ kind: "unknown", message: "no answer" })),
                stop: () => Promise.resolve(closed),
                look: (...[, { token }]) => {
                    tokens.push(token);
                    return Promise.resolve(answer);
                },
                throttle: () => Promise.resolve(closed),
                forget: () => undefined,
            },
            events: {
                onReport: () => undefined,
                onReborn: () => undefined,
                onLapsed: () => undefined,
                onFenced: () => undefined,
                onContact: () => undefined,
            },
            isBusy: () => true,
            isWatched: () => false,
            lateOrders,
            inheritedUntil: 0,
        });
        void session.run(stop.signal);
        session.noteProofSent();
        await jest.advanceTimersByTimeAsync(100);
        session.noteProofSent()();
        // A start whose deadline may still arrive, in a time of late orders.
        lateOrders.note();
        await session.start({ task: "j.0.0.0" as never, run: 1, payload: "", checkpoint: "" });
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    it("writes a worker off at once that left as announced, whatever its leases say", async () => {
        session.setEntry({ ...entry, isDraining: true, remaining: 2_000 });
        await jest.advanceTimersByTimeAsync(2_100);
        answer = closed;
        session.setEntry(undefined);
        await jest.advanceTimersByTimeAsync(1_500);
        expect(session.contact()).toBe("lapsed");
    });

    it("waits for the leases of one that does not answer but may live", async () => {
        session.setEntry({ ...entry, isDraining: true, remaining: 2_000 });
        await jest.advanceTimersByTimeAsync(2_100);
        answer = Result.err({ kind: "not-sent", message: "no answer" });
        session.setEntry(undefined);
        await jest.advanceTimersByTimeAsync(10_000);
        expect(session.contact()).toBe("silent");
        await jest.advanceTimersByTimeAsync(9_000);
        expect(session.contact()).toBe("lapsed");
    });

    it("calls each life of a worker with a higher token, so that late orders to a former one do nothing", async () => {
        const first = tokens.at(-1) ?? 0;
        answer = report(2);
        await jest.advanceTimersByTimeAsync(1_000);
        const second = tokens.at(-1) ?? 0;
        expect(second).toBeGreaterThan(first);
        // A later holder's tokens are higher than all of them.
        expect(second).toBeLessThan(4 * 1_024);
    });
});
